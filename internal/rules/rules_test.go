package rules

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	sample "jasmineshed/examples"
)

const small = `; a small system
[zones]
nl-west-a = region nl ; platform group
nl-west-b = region nl, out yes ; platform group
[suppliers]
noord = leaving no ; board
[models]
draft-7b = version 3, adapters captions warnings ; captions desk
[pools]
draft = kind generate, model draft-7b, unit 2.5 ; captions desk
playout = kind service ; playout desk
[servers]
gen-a-1 = pool draft, zone nl-west-a, supplier noord, url http://127.0.0.1:9001, capacity 8, cold_bears 2, checks_caller yes, fenced yes ; operations
pub-a-1 = pool playout, zone nl-west-a, supplier noord, url http://127.0.0.1:9002, capacity 4, cold_bears 1 ; operations
[pipelines]
caption = deadline 6s, stages draft publish ; captions desk
[stages]
caption/draft = kind generate, pool draft, minimum 200ms ; captions desk
caption/publish = kind service, pool playout, minimum 50ms, idempotent no, zones nl-west-a ; playout desk
[workspaces]
noord-tv = share 4, token_sha256 ` + someHash + `, pipelines caption ; noord-tv
[limits]
weight_loads = 4 ; platform group
`

const someHash = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

func TestParseSmall(t *testing.T) {
	r, faults := Parse([]byte(small), 7)
	require.Empty(t, faults)
	require.Equal(t, shed.Revision(7), r.Revision)
	require.Equal(t, 4, r.MaxWeightLoads)
	require.True(t, r.Zones["nl-west-b"].OutOfService)
	require.Equal(t, "platform group", r.Zones["nl-west-b"].RequestedBy)
	require.Equal(t, 4, r.Zones["nl-west-b"].Line)
	require.False(t, r.Pipelines["caption"].Idempotent())
	require.Len(t, r.Pools["draft"].Servers, 1)
	require.Equal(t, "http://127.0.0.1:9001", r.Servers["gen-a-1"].URL)
}

// edited is the small file with one piece changed.
func edited(t *testing.T, from, to string) []byte {
	t.Helper()
	require.Contains(t, small, from)
	return []byte(strings.Replace(small, from, to, 1))
}

func TestParseRefuses(t *testing.T) {
	server := "gen-a-1 = pool draft, zone nl-west-a"
	cases := map[string]struct{ from, to, reason string }{
		"no comment":               {"region nl ; platform group", "region nl", "nobody is named"},
		"empty comment":            {"region nl ; platform group", "region nl ; ", "nobody is named"},
		"unknown section":          {"[zones]", "[zonse]", "unknown section"},
		"default section":          {"[zones]", "[DEFAULT]", "neither a section nor a rule"},
		"unclosed section":         {"[zones]", "[zones", "neither a section nor a rule"},
		"rule before a section":    {"; a small system", "a = b ; c", "before the first section"},
		"no rule":                  {"weight_loads = 4", "weight_loads 4", "neither a section nor a rule"},
		"quotes":                   {"version 3", "version `3`", "quotes"},
		"duplicate":                {"noord = leaving no ; board", "noord = leaving no ; board\nnoord = leaving yes ; x", "already given on line 6"},
		"duplicate field":          {"leaving no", "leaving no, leaving yes", "stands twice"},
		"unknown field":            {"region nl ;", "region nl, colour red ;", "unknown field colour"},
		"empty field":              {"region nl ;", "region nl, ;", "empty field"},
		"bad id":                   {"nl-west-a = region nl ;", "nl west a = region nl ;", "no id"},
		"id too long":              {"region nl ;", "region " + strings.Repeat("x", 65) + " ;", "no id"},
		"unknown pool":             {"pool draft, zone", "pool drafts, zone", "pool drafts is not in [pools]"},
		"unknown zone":             {server, "gen-a-1 = pool draft, zone nl-west-z", "zone nl-west-z is not in [zones]"},
		"unknown supplier":         {"supplier noord", "supplier zuid", "supplier zuid is not in [suppliers]"},
		"unknown model":            {"model draft-7b, unit", "model draft-8b, unit", "model draft-8b is not in [models]"},
		"unknown stage":            {"stages draft publish", "stages draft check publish", "stage caption/check is not in [stages]"},
		"stage nobody lists":       {"stages draft publish", "stages draft", "does not list stage publish"},
		"unknown pipeline":         {"pipelines caption ;", "pipelines captions ;", "pipeline captions is not in [pipelines]"},
		"kinds differ":             {"kind service, pool playout", "kind rerank, pool playout", "kind differs from that of pool playout"},
		"cold above capacity":      {"cold_bears 2", "cold_bears 9", "above capacity 8"},
		"no capacity":              {"capacity 8", "capacity 0", "out of range"},
		"capacity not whole":       {"capacity 8", "capacity 8.5", "out of range"},
		"capacity beyond an int":   {"capacity 8", "capacity 99999999999999999999", "out of range"},
		"unit not a number":        {"unit 2.5", "unit NaN", "out of range"},
		"deadline below the sum":   {"deadline 6s", "deadline 249ms", "below 250ms"},
		"deadline without unit":    {"deadline 6s", "deadline 6", "out of range"},
		"negative minimum":         {"minimum 50ms", "minimum -50ms", "out of range"},
		"no word on repeating":     {", idempotent no", "", "may be repeated"},
		"neither yes nor no":       {"fenced yes", "fenced maybe", "neither yes nor no"},
		"name instead of a number": {"http://127.0.0.1:9001", "http://gen-a-1:9001", "no IP number and port"},
		"url without port":         {"http://127.0.0.1:9001", "http://127.0.0.1", "no IP number and port"},
		"url of another kind":      {"http://127.0.0.1:9001", "ftp://127.0.0.1:9001", "no HTTP address"},
		"url with a query":         {"http://127.0.0.1:9001", "http://127.0.0.1:9001/?a", "more than a server and a path"},
		"url twice":                {"http://127.0.0.1:9001", "http://127.0.0.1:9002", "url is that of gen-a-1"},
		"token in the clear":       {someHash, "demo-token", "no SHA-256"},
		"unknown limit":            {"weight_loads =", "weight_lads =", "unknown limit"},
		"limit out of range":       {"weight_loads = 4", "weight_loads = 0", "out of range"},
		"control character":        {"region nl ;", "region nl\x00 ;", "control character U+0000"},
		"not UTF-8":                {"region nl ;", "region nl\xff ;", "not UTF-8"},
		"byte order mark":          {"; a small", "\uFEFF; a small", "byte order mark"},
		"role without generation":  {"zone nl-west-a, supplier noord, url http://127.0.0.1:9002", "zone nl-west-a, role prefill, supplier noord, url http://127.0.0.1:9002", "generates nothing"},
		"stage that nothing runs":  {"zones nl-west-a ; playout", "zones nl-west-b ; playout", "no server where stage publish may run"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			text := edited(t, c.from, c.to)
			r, faults := Parse(text, 1)
			require.Nil(t, r)
			require.NotEmpty(t, faults)
			require.Contains(t, faults.Error(), c.reason)
			for _, f := range faults {
				require.NotEmpty(t, f.Fix)
				require.Positive(t, f.Line, f.Reason)
			}
			_, again := Parse(text, 1)
			require.Equal(t, faults, again)
		})
	}
}

func TestParseRefusesEmptyFile(t *testing.T) {
	for name, text := range map[string]string{"nothing": "", "comments": "; all gone\n", "headers": "[zones]\n[pools]\n"} {
		t.Run(name, func(t *testing.T) {
			_, faults := Parse([]byte(text), 1)
			require.Len(t, faults, 2)
		})
	}
}

func TestParseTellsEveryFault(t *testing.T) {
	text := edited(t, "cold_bears 2", "cold_bears 9, colour red")
	text = bytes.Replace(text, []byte("region nl ; platform group"), []byte("region nl"), 1)
	text = bytes.Replace(text, []byte("stages draft publish"), []byte("stages draft check publish"), 1)
	text = bytes.Replace(text, []byte("[limits]"), []byte("[limits"), 1)
	_, faults := Parse(text, 1)
	goldie.New(t).Assert(t, "faults", []byte(faults.Error()+"\n"))
}

func TestExplain(t *testing.T) {
	text := strings.NewReplacer(
		"nl-west-a = region nl ;", "nl-west-a = region nl, out yes ;",
		"leaving no", "leaving yes",
		"fenced yes ;", "leaving yes ;",
	).Replace(small)
	r, faults := Parse([]byte(text), 1)
	require.Empty(t, faults)
	var b strings.Builder
	for _, subject := range []string{"caption", "caption/publish", "gen-a-1", "noord-tv", "draft", "nl-west-a", "noord", "nobody"} {
		fmt.Fprintf(&b, "== %s\n", subject)
		for _, line := range Explain(r, subject) {
			fmt.Fprintln(&b, line)
		}
	}
	goldie.New(t).Assert(t, "explain", []byte(b.String()))
}

func TestRewrite(t *testing.T) {
	text := ReplaceURLs([]byte(small), func(id shed.ServerID) string {
		if id == "gen-a-1" {
			return "http://127.0.0.1:7"
		}
		return ""
	})
	r, faults := Parse(text, 1)
	require.Empty(t, faults)
	require.Equal(t, "http://127.0.0.1:7", r.Servers["gen-a-1"].URL)
	require.Equal(t, "http://127.0.0.1:9002", r.Servers["pub-a-1"].URL)
}

func TestExamplesAreRight(t *testing.T) {
	for _, name := range sample.Names() {
		t.Run(name, func(t *testing.T) {
			text, err := sample.Rules(name)
			require.NoError(t, err)
			r, faults := Parse(text, 1)
			require.Empty(t, faults)
			for id, w := range r.Workspaces {
				require.Equal(t, w.TokenHash, fmt.Sprintf("%x", sha256.Sum256([]byte(sample.Token(string(id))))))
			}
		})
	}
}

// FuzzParse gives random bytes to all that reads what others wrote.
func FuzzParse(f *testing.F) {
	f.Add([]byte(small))
	for _, name := range sample.Names() {
		text, err := sample.Rules(name)
		require.NoError(f, err)
		f.Add(text)
	}
	for _, text := range []string{"", "[", "[zones]\n= ;x", "a=\"\"\"\n", "-=1;x", "[a]\n[a]\n\\", "x=`\n`", `{"parts":["00"]}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		r, faults := Parse(text, 1)
		require.Equal(t, r == nil, len(faults) > 0)
		c := NewCompiler()
		for range 2 {
			again, err := c.Compile(text, 1)
			require.Equal(t, r, again)
			require.Equal(t, len(faults) > 0, err != nil)
			if err != nil {
				require.Equal(t, faults.Error(), err.Error())
			}
		}
		if r != nil {
			index, parts := Pack(text)
			list, err := ParseIndex(1, index)
			require.NoError(t, err)
			back, err := Join(list, parts)
			require.NoError(t, err)
			require.Equal(t, string(text), string(back))
		}
		_, _ = ParseIndex(1, text)
	})
}
