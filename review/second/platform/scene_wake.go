package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Doses: one machine of three stands still for 3 s (node_freeze has a count of 1 for 4 s), and one of seven replicas is down
// for 1.5 s meanwhile (srv_crash has a share of 0.17 for 4.5 s at most).
const (
	wakeEvery  = 6200 * time.Millisecond
	wakeRounds = 14
	freezeTime = 3 * time.Second
	untilKill  = 500 * time.Millisecond
	wakeDown   = 1500 * time.Millisecond
)

// wakeScene: a replica crashes and is back at its address while a relay stands still.
func wakeScene(w *world) error {
	zones := []string{"a", "b", "c"}
	var replicas []*replicaProcess
	defer func() {
		for _, p := range replicas {
			p.kill()
		}
	}()
	for n := range fallReplicas {
		p, err := w.startReplicaProcess(fmt.Sprintf("i-model%d", n), zones[n%3], "")
		if err != nil {
			return err
		}
		replicas = append(replicas, p)
		w.store.put("servers/"+p.id, p.entry("ready"))
	}
	c := configuration(1)
	route := c["routes"].([]any)[0].(object)
	route["resumable"], route["max_attempts"] = false, 1
	w.store.put("op/config", c)
	if err := w.startRelays(3, zones); err != nil {
		return err
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return err
	}
	began := time.Now()
	var failure error
	// stood is the front of the machine that stood still last.
	var stood atomic.Value
	stood.Store("")
	var g sync.WaitGroup
	g.Go(func() {
		for n := 0; w.trouble && n < wakeRounds; n++ {
			time.Sleep(wakeEvery - freezeTime)
			r := w.relays[n%len(w.relays)]
			stood.Store(r.front)
			if failure = w.crashUnseen(r, &replicas[n%fallReplicas]); failure != nil {
				return
			}
		}
	})
	whole, failed := w.streams(began, wakeRounds*wakeEvery+6*time.Second, 33*time.Millisecond, func(front string) bool {
		// Streams of the other machines break off while the replica is down, as in the scene of crashes.
		return front == stood.Load()
	})
	g.Wait()
	w.note("clients: %d whole, %d not", whole, failed)
	if whole == 0 {
		return fmt.Errorf("nothing was served")
	}
	return failure
}

// crashUnseen has a replica crash and come back, under its id and at its address, while a relay stands still.
func (w *world) crashUnseen(r *relay, p **replicaProcess) error {
	old := *p
	w.note("machine %s stands still", r.name)
	_ = r.cmd.Process.Signal(syscall.SIGSTOP)
	woken := time.Now().Add(freezeTime)
	time.Sleep(untilKill)
	w.note("replica %s crashes", old.id)
	old.kill()
	time.Sleep(wakeDown)
	next, err := w.startReplicaProcess(old.id, old.zone, old.addr)
	if err == nil {
		*p = next
		w.store.put("servers/"+next.id, next.entry("ready"))
	}
	time.Sleep(time.Until(woken))
	_ = r.cmd.Process.Signal(syscall.SIGCONT)
	w.note("machine %s goes on", r.name)
	return err
}
