package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Bounds of the deployment, and doses: one replica at a time is replaced (release has an x of 1, and a share of 0.45 to 0.5
// of the replicas each time that it comes).
const (
	drainTime   = 2 * time.Second
	applyTime   = 2 * time.Second
	lingerTime  = 500 * time.Millisecond
	leaveEvery  = 9 * time.Second
	leaveLength = 75 * time.Second
	// cutFactor is how many times as often a machine has to cut requests beside a configuration for these to count.
	cutFactor = 3
	// usedShare is the part of its time that a request may have used.
	usedShare = 0.7
)

// cut is a stream without a whole answer although its replica has written one.
type cut struct {
	id, front string
	at        time.Time
}

// leaveScene: replicas are replaced one after the other, and the configuration changes. A replica that leaves serves on for
// drain_ms and a little longer, takes no more connections, ends the streams that it has, and exits.
func leaveScene(w *world) error {
	zones := []string{"a", "b", "c"}
	var replicas []*replicaProcess
	defer func() {
		for _, p := range replicas {
			p.kill()
		}
	}()
	add := func(n int) error {
		p, err := w.startReplicaProcess(fmt.Sprintf("i-model%d", n), zones[n%3], "")
		if err != nil {
			return err
		}
		replicas = append(replicas, p)
		w.store.put("servers/"+p.id, p.entry("ready"))
		return nil
	}
	for n := range fallReplicas {
		if err := add(n); err != nil {
			return err
		}
	}
	w.store.put("op/config", frailConfiguration(1))
	if err := w.startRelays(3, zones); err != nil {
		return err
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return err
	}
	began := time.Now()
	var changes []time.Time
	var g sync.WaitGroup
	g.Go(func() {
		for n := 0; time.Since(began) < leaveLength-leaveEvery; n++ {
			time.Sleep(leaveEvery - drainTime - lingerTime)
			var p *replicaProcess
			if w.trouble {
				p = replicas[n]
				if add(fallReplicas+n) != nil {
					return
				}
				w.store.put("servers/"+p.id, p.entry("draining"))
				w.note("replica %s leaves", p.id)
			}
			time.Sleep(drainTime + lingerTime)
			changes = append(changes, w.store.put("op/config", frailConfiguration(n+2)))
			w.note("configuration %d is acknowledged", n+2)
			if w.trouble {
				p.leave()
				g.Go(func() {
					<-p.ended
					w.store.remove("servers/" + p.id)
					w.note("replica %s has gone", p.id)
				})
			}
		}
	})
	whole, failed, cuts := w.watchedStreams(began, leaveLength, 33*time.Millisecond)
	g.Wait()
	w.note("clients: %d whole, %d not, %d of these cut though their replica has written all", whole, failed, len(cuts))
	if whole == 0 {
		return fmt.Errorf("nothing was served")
	}
	w.checkCuts(cuts, changes)
	return nil
}

// frailConfiguration returns a version of the configuration whose route is not resumable.
func frailConfiguration(version int) object {
	c := configuration(version)
	route := c["routes"].([]any)[0].(object)
	route["resumable"], route["max_attempts"] = false, 1
	route["target_latency_ms"] = 2100 + version
	return c
}

// watchedStreams has clients send streams, one every pause, and returns those that were cut.
func (w *world) watchedStreams(began time.Time, length, pause time.Duration) (whole, failed int, cuts []cut) {
	var mu sync.Mutex
	var g sync.WaitGroup
	for n := 0; time.Since(began) < length; n++ {
		q := request{
			id: newID(), method: http.MethodPost, host: "pule.example", path: "/draft/" + newID(), body: "text " + newID(), deadline: 12 * time.Second,
			header: map[string]string{
				"Authorization": "Bearer key-1", "X-Deadline-Ms": "12000", "X-Model": "m", "X-Token-Count": "400,200",
				"X-Prompt-Prefix": fmt.Sprintf("5c1e%04x:300,%s:100", n%40, newID()),
			},
		}
		front := w.relays[n%len(w.relays)].front
		g.Go(func() {
			w.note("client sends %s to %s", q.id, front)
			sent := time.Now()
			got := q.send(front, nil)
			ended := time.Now()
			w.note("client got %s: status %d, %d events, %v", q.id, got.status, len(got.events), got.err)
			// The replica's own word may come a moment later.
			time.Sleep(200 * time.Millisecond)
			wrote := w.hasWritten(q.id)
			mu.Lock()
			defer mu.Unlock()
			if got.status == http.StatusOK && got.err == nil {
				whole++
				return
			}
			failed++
			if wrote && ended.Sub(sent) < time.Duration(usedShare*float64(q.deadline)) {
				cuts = append(cuts, cut{q.id, front, ended})
				w.note("cut: %s got %d events and no end, though its replica has written the whole answer", q.id, len(got.events))
			}
		})
		time.Sleep(pause)
	}
	g.Wait()
	return whole, failed, cuts
}

// checkCuts counts the cuts beside configurations, and checks for each machine that there were more of them then than at
// other times.
func (w *world) checkCuts(cuts []cut, changes []time.Time) {
	span := applyTime + time.Second
	beside := span * time.Duration(len(changes))
	for _, r := range w.relays {
		var then, other []cut
		for _, c := range cuts {
			if c.front != r.front {
				continue
			}
			inside := false
			for _, at := range changes {
				// A write to the store takes well below a millisecond here.
				inside = inside || c.at.After(at.Add(-time.Millisecond)) && c.at.Before(at.Add(span))
			}
			if inside {
				then = append(then, c)
			} else {
				other = append(other, c)
			}
		}
		rate, otherRate := float64(len(then))/beside.Seconds(), float64(len(other))/(leaveLength-beside).Seconds()
		w.note("machine %s cut %d streams beside configurations (%.2f a second), %d at other times (%.2f)", r.name, len(then), rate, len(other), otherRate)
		if len(then) == 0 || rate <= cutFactor*otherRate {
			continue
		}
		for _, c := range then {
			w.breaks("LOST: the connection of %s at machine %s ends without a complete answer, which its replica has written", c.id, r.name)
		}
	}
}
