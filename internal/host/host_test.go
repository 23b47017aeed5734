package host

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against limits that are not those of the machine, the control group or the settings.
func TestLimits(t *testing.T) {
	m, err := Limits(0, 0)
	require.NoError(t, err)
	require.Positive(t, m.Memory)
	require.Positive(t, m.Descriptors)
	m, err = Limits(144_000_000, 40)
	require.NoError(t, err)
	require.EqualValues(t, 144_000_000, m.Memory)
	require.Equal(t, 40, m.Descriptors)
	require.Zero(t, m.RuntimeMemory)
}

func TestReadMemory(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		return file
	}
	machine := write("meminfo", "MemTotal:        1000 kB\nMemFree:          500 kB\n")
	for group, want := range map[string]int64{
		write("less", "512000\n"): 512000, write("more", "99999999\n"): 1024000, write("none", "max\n"): 1024000, "missing": 1024000,
	} {
		n, err := readMemory(machine, group)
		require.NoError(t, err)
		require.Equal(t, want, n, group)
	}
	_, err := readMemory("missing", "missing")
	require.Error(t, err)
	_, err = readMemory(write("bad", "?"), "missing")
	require.Error(t, err)
}
