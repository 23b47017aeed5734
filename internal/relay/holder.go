package relay

import (
	"context"
	"sync"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/origin"
	"jasmineshed/internal/peers"
	"jasmineshed/internal/rank"

	"github.com/sirupsen/logrus"
)

const (
	// heldTimeout bounds the search for the servers that wrote a stream.
	heldTimeout = 400 * time.Millisecond
	// cacheMaxAge is how old a list of a server's cached parts may be: listing them delays the server's work. What a
	// stream left there before the list was made is in it.
	cacheMaxAge = time.Second
	// maxCacheList bounds a list of cached parts, in bytes.
	maxCacheList = 4 << 20
)

// cacheList is the last list of one server's cached parts.
type cacheList struct {
	// mu is held while the list is read, so that it is read once for all that want it.
	mu     sync.Mutex
	readAt time.Time
	parts  []shed.PromptPart
	err    error
}

// findWriter returns the software version of the servers that wrote the stream which a request resumes, by what they
// have in their caches. These outlast the VMs' memory.
//
// Load pattern: all VMs fail together, and the callers of all open streams resume them within seconds. So each
// server's cache is read by one VM for all.
func (r *Relay) findWriter(ctx context.Context, j *job) (shed.SoftwareVersion, bool) {
	wanted, ok := origin.WantedFor(&j.request)
	if !ok {
		return "", false
	}
	ctx, cancel := r.withTimeout(ctx, heldTimeout)
	defer cancel()
	r.mu.Lock()
	calls, client := r.heldCalls(j.pool.ID, wanted), r.client
	r.mu.Unlock()
	replies := make(chan peers.HeldReply, len(calls))
	for vm, call := range calls {
		r.work.Go(func() error {
			replies <- r.askHeld(ctx, client, vm, call)
			return nil
		})
	}
	var versions []shed.SoftwareVersion
	for range calls {
		select {
		case reply := <-replies:
			versions = append(versions, reply.Versions...)
		case <-ctx.Done():
		}
	}
	version, ok := origin.Agreed(versions)
	r.log.WithFields(logrus.Fields{
		"request": j.request.ID, "resumes": j.request.Resumes, "versions": versions, "asked": len(calls), "known": ok,
	}).Info("servers asked for the origin of a stream")
	return version, ok
}

// heldCalls returns the calls that find the writers of a stream, by the VM that reads their caches. The caller holds mu.
func (r *Relay) heldCalls(pool shed.PoolID, wanted origin.Wanted) map[shed.VM]peers.HeldCall {
	vms := append(r.alivePeers(), r.mesh.self.VM)
	calls := map[shed.VM]peers.HeldCall{}
	for _, s := range r.roster.OpenServers(pool) {
		vm, _ := rank.Owner("cache of "+string(s.ID), vms)
		call, ok := calls[vm]
		if !ok {
			call = peers.HeldCall{Part: wanted.Part, Written: wanted.Written}
		}
		call.Servers = append(call.Servers, s.ID)
		calls[vm] = call
	}
	return calls
}

// askHeld makes one call, to this VM or a peer; one that fails finds nothing.
func (r *Relay) askHeld(ctx context.Context, client *peers.Client, vm shed.VM, call peers.HeldCall) peers.HeldReply {
	if vm == r.mesh.self.VM {
		return r.Held(ctx, call)
	}
	reply, err := client.Held(ctx, vm, call)
	if err != nil {
		r.stats.originFailures.Inc(1)
	}
	return reply
}

// Held implements peers.RelayHandler.
func (r *Relay) Held(ctx context.Context, call peers.HeldCall) peers.HeldReply {
	wanted := origin.Wanted{Part: call.Part, Written: call.Written}
	replies := make(chan []shed.SoftwareVersion, len(call.Servers))
	for _, id := range call.Servers {
		r.work.Go(func() error {
			replies <- r.versionIfWriter(ctx, id, wanted)
			return nil
		})
	}
	var out peers.HeldReply
	for range call.Servers {
		out.Versions = append(out.Versions, <-replies...)
	}
	return out
}

// versionIfWriter returns the version of a server if it wrote a stream.
func (r *Relay) versionIfWriter(ctx context.Context, id shed.ServerID, wanted origin.Wanted) []shed.SoftwareVersion {
	r.mu.Lock()
	server, ok := r.roster.Server(id)
	ok = ok && r.roster.IsOpen(server.Start())
	var list *cacheList
	if ok {
		list = r.cacheListOf(server.Start())
	}
	r.mu.Unlock()
	if !ok {
		return nil
	}
	parts, err := r.cachedParts(ctx, server.ServerEntry, list)
	if err != nil {
		r.log.WithField("server", id).WithError(err).Debug("cached parts of a server not read")
		return nil
	}
	if !wanted.IsIn(parts) {
		return nil
	}
	return []shed.SoftwareVersion{server.Version}
}

// cacheListOf returns the list of a start of a server, and forgets those of servers that are gone. The caller holds mu.
func (r *Relay) cacheListOf(start shed.ServerStart) *cacheList {
	list := r.cacheLists[start]
	if list == nil {
		for known := range r.cacheLists {
			if !r.roster.IsOpen(known) {
				delete(r.cacheLists, known)
			}
		}
		list = &cacheList{}
		r.cacheLists[start] = list
	}
	return list
}

// cachedParts returns the parts in a server's cache, as of cacheMaxAge ago at most.
func (r *Relay) cachedParts(ctx context.Context, server shed.ServerEntry, list *cacheList) ([]shed.PromptPart, error) {
	list.mu.Lock()
	defer list.mu.Unlock()
	if time.Since(list.readAt) < cacheMaxAge {
		return list.parts, list.err
	}
	list.parts, list.err = r.readCache(ctx, server)
	list.readAt = time.Now()
	return list.parts, list.err
}

func (r *Relay) readCache(ctx context.Context, server shed.ServerEntry) ([]shed.PromptPart, error) {
	req, err := r.cfg.Dialect.NewCacheRequest(server)
	if err != nil {
		return nil, err
	}
	r.stats.cacheLists.Inc(1)
	body, err := r.query(ctx, server, req, maxCacheList)
	if err != nil {
		return nil, err
	}
	return r.cfg.Dialect.ParseCache(body)
}
