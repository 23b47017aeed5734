package telem

import (
	"bytes"
	"log"

	"github.com/sirupsen/logrus"
)

// RedirectStandardLog redirects the standard logger, which libraries use, to l.
// Otherwise its lines would go to standard error as plain text, with one write
// for each line, which may block. For example, net/http logs an unsolicited
// response of a server there, including the response's bytes.
func RedirectStandardLog(l *logrus.Logger) {
	log.SetFlags(0)
	log.SetOutput(LogWriter{l})
}

// LogWriter writes a library's log lines to Log. Each line is truncated at its
// first quote: quoted text may be a part of a caller's prompt or answer, which
// must not be in any log.
type LogWriter struct{ Log logrus.FieldLogger }

// Write implements io.Writer; p is one line.
func (w LogWriter) Write(p []byte) (int, error) {
	text, _, _ := bytes.Cut(p, []byte(`"`))
	w.Log.WithField("origin", "library").Warn(string(bytes.TrimSpace(text)))
	return len(p), nil
}
