package telem

import (
	"bytes"
	"log"

	"github.com/sirupsen/logrus"
)

// RedirectStandardLog sends what libraries print by the standard logger to l. Else
// it went to standard error as plain text, one write for each line, which may
// block: net/http prints there, with the bytes themselves, that a server sent an
// answer that nobody awaits.
func RedirectStandardLog(l *logrus.Logger) {
	log.SetFlags(0)
	log.SetOutput(LogWriter{l})
}

// LogWriter passes lines of a library's log on. Quoted text is cut off: it may
// be a part of a caller's prompt or answer, which no log may hold.
type LogWriter struct{ Log logrus.FieldLogger }

// Write implements io.Writer; p is one line.
func (w LogWriter) Write(p []byte) (int, error) {
	text, _, _ := bytes.Cut(p, []byte(`"`))
	w.Log.WithField("origin", "library").Warn(string(bytes.TrimSpace(text)))
	return len(p), nil
}
