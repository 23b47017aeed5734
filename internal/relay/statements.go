package relay

import (
	shed "jasmineshed"

	"github.com/sirupsen/logrus"
)

// receiveStatements applies what an answer says about its server: a rate limit, that it leaves, or
// that it wants rest. An answer of another server at the same address says nothing about it.
func (r *Relay) receiveStatements(s shed.ServerEntry, reply shed.ReplyHead) {
	if reply.OtherServer {
		return
	}
	for _, text := range reply.Malformed {
		r.log.WithFields(logrus.Fields{"server": s.ID, "statement": text}).Warn("statement of a server can't be read")
	}
	r.receiveAnswerLimit(s, reply)
	r.logStatements(s, reply)
}

// logStatements logs that a server leaves or wants rest.
func (r *Relay) logStatements(s shed.ServerEntry, reply shed.ReplyHead) {
	log := r.log.WithFields(logrus.Fields{"server": s.ID, "born": s.StartedMs, "pool": s.Pool})
	if reply.Leaving {
		log.WithField("entry_leaving", s.Leaving).Info("server says that it leaves")
	}
	if reply.Rest > 0 {
		log.WithField("rest_ms", reply.Rest.Milliseconds()).Info("server asks for rest")
	}
}
