package procs

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	sample "jasmineshed/examples"
	"jasmineshed/internal/fault"
	"jasmineshed/pkg/client"
)

const (
	// machineMemory is the memory of the smallest VM, in bytes; memoryLimit is what its runtime is told.
	machineMemory = 144_000_000
	memoryLimit   = machineMemory * 17 / 20
	// descriptorLimit is how many descriptors a VM has, maxDescriptors how many it may use beside a crowd: the others
	// are for its own connections.
	descriptorLimit, maxDescriptors = 256, 224
	// bodyLimit is the largest body, in bytes.
	bodyLimit = 1 << 20
	// crowdTime is how long a crowd stays.
	crowdTime = 6 * time.Second
)

// hostileHead is the head of a call for fault.Upload.
func (f *fleet) hostileHead(token string) string {
	return fmt.Sprintf("POST /v1/pipelines/caption/requests HTTP/1.1\r\nHost: crowd\r\nContent-Type: application/json\r\n"+
		"X-Workspace: %s\r\nAuthorization: Bearer %s\r\n", f.workspace(), token)
}

// requireAnswer sends an ordinary request until it is answered, as callers do whose requests were refused.
func (f *fleet) requireCaption(v *vm, msg string) {
	f.t.Helper()
	c := f.newClient(0, v)
	await(f.t, func() bool {
		answer, err := c.Run(f.t.Context(), client.Request{Pipeline: "caption", Input: "ordinary", MaxTokens: tokens})
		return err == nil && answer.Outcome == client.Complete
	}, "an ordinary request is answered "+msg, "%s", logOf{v.process})
}

// largeBody returns a complete body of nearly the largest size.
func largeBody() []byte {
	return fmt.Appendf(nil, `{"input": "%s", "max_tokens": 1}`, strings.Repeat("large ", bodyLimit/6-10))
}

// checkMemory checks that the daemons live and are within their memory.
func (f *fleet) checkMemory() {
	f.t.Helper()
	for _, v := range f.vms {
		require.True(f.t, v.Running(), "%s ended: %s", v.name, v.Tail())
		peak, err := v.PeakMemory()
		require.NoError(f.t, err)
		f.t.Logf("%s: peak memory %d MB", v.name, peak/1_000_000)
		require.Less(f.t, peak, int64(machineMemory), "peak memory of %s", v.name)
	}
}

// Guards against callers whose bodies take more memory than the VM has, whether they are complete or not, and whether
// or not their callers may send requests at all.
func TestHostileBodiesAtServe(t *testing.T) {
	for _, c := range []struct {
		name, token string
		callers     int
		upload      fault.Upload
	}{
		{"length, a byte missing", "", 200, fault.Upload{Announced: bodyLimit, Sent: bodyLimit - 1}},
		{"length, a byte missing, no valid token", "nobody", 200, fault.Upload{Announced: bodyLimit, Sent: bodyLimit - 1}},
		{"large chunks, a byte missing", "", 200, fault.Upload{Announced: -1, Chunk: 64 << 10, Sent: bodyLimit, Unended: true}},
		{"chunks of a byte, no last chunk", "", 200, fault.Upload{Announced: -1, Chunk: 1, Sent: 512 << 10, Unended: true}},
		{"length over the limit", "", 120, fault.Upload{Announced: 1 << 30, Sent: -1}},
		{"chunks without end", "", 120, fault.Upload{Announced: -1, Chunk: 64 << 10, Sent: -1}},
		{"complete bodies", "", 120, fault.Upload{Body: largeBody()}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := startFleet(t, fleetConfig{example: "small", limits: fault.Limits{Memory: memoryLimit}, alone: true})
			if c.token == "" {
				c.token = sample.Token(f.workspace())
			}
			c.upload.Head = f.hostileHead(c.token)
			if c.upload.Body != nil {
				c.upload.Head += "Connection: close\r\n"
			}
			f.requireCaption(f.vms[0], "before the crowd")
			crowd := fault.StartCrowd(f.vms[0].callers, c.callers, c.upload)
			defer crowd.Stop()
			time.Sleep(crowdTime)
			f.requireCaption(f.vms[0], "beside the crowd")
			crowd.Stop()
			t.Log(crowd)
			f.requireCaption(f.vms[0], "after the crowd")
			f.checkMemory()
		})
	}
}

// Guards against callers that take all descriptors, so that the VM reaches neither servers nor peers.
func TestHostileConnectionsAtServe(t *testing.T) {
	f := startFleet(t, fleetConfig{
		example: "small", limits: fault.Limits{Memory: memoryLimit, Descriptors: descriptorLimit}, alone: true,
	})
	f.requireCaption(f.vms[0], "before the crowd")
	crowd := fault.StartCrowd(f.vms[0].callers, 2*descriptorLimit, fault.Upload{
		Head: f.hostileHead(sample.Token(f.workspace())), Announced: 16 << 10, Sent: 1,
	})
	defer crowd.Stop()
	most, err := f.vms[0].MostDescriptors(crowdTime)
	require.NoError(t, err)
	t.Logf("descriptors: %d", most)
	require.LessOrEqual(t, most, maxDescriptors)
	f.requireCaption(f.vms[0], "beside the crowd")
	crowd.Stop()
	f.requireCaption(f.vms[0], "after the crowd")
	f.checkMemory()
}
