package cmds

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	sample "jasmineshed/examples"
	"jasmineshed/internal/rules"
)

func TestRules(t *testing.T) {
	text, err := sample.Rules("weerbeeld")
	require.NoError(t, err)
	dir := t.TempDir()
	good, bad := filepath.Join(dir, "good.ini"), filepath.Join(dir, "bad.ini")
	wrong := strings.Replace(string(text), "cold_bears 2", "cold_bears 200", 2)
	require.NoError(t, os.WriteFile(good, text, 0o600))
	require.NoError(t, os.WriteFile(bad, []byte(wrong), 0o600))
	cases := map[string]struct {
		args []string
		err  error
	}{
		"check_good":      {[]string{"check", good}, nil},
		"check_bad":       {[]string{"check", bad}, errRulesRefused},
		"explain":         {[]string{"explain", good, "spoken"}, nil},
		"explain_unknown": {[]string{"explain", good, "nobody"}, errUnknownSubject},
		"no_file":         {[]string{"check", filepath.Join(dir, "none")}, os.ErrNotExist},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			root := NewRoot(&Deps{Out: &out, Err: &out})
			root.SetArgs(append([]string{"rules"}, c.args...))
			require.ErrorIs(t, root.Execute(), c.err)
			goldie.New(t).Assert(t, "rules_"+name, out.Bytes())
		})
	}
}

func TestRulesPack(t *testing.T) {
	dir := t.TempDir()
	root := NewRoot(&Deps{Out: &bytes.Buffer{}, Err: &bytes.Buffer{}})
	root.SetArgs([]string{"rules", "pack", "../../examples/small.rules.ini", "--out", dir})
	require.NoError(t, root.Execute())
	data, err := os.ReadFile(filepath.Join(dir, rules.IndexKey))
	require.NoError(t, err)
	index, err := rules.ParseIndex(1, data)
	require.NoError(t, err)
	for _, hash := range index.Parts {
		require.FileExists(t, filepath.Join(dir, rules.PartName(hash)))
	}
}
