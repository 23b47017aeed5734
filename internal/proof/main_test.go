package proof

import (
	"flag"
	"os"
	"runtime/debug"
	"testing"
)

// TestMain trades memory for time: a world is short-lived, so that collecting it later is
// cheaper.
func TestMain(m *testing.M) {
	debug.SetGCPercent(400)
	// The same worlds in every run, unless flags set another seed or number.
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "150")
	flag.Parse()
	os.Exit(m.Run())
}
