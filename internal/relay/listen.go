package relay

import (
	"context"
	"net"

	"jasmineshed/internal/httpd"
	"jasmineshed/internal/prefs"
)

// Listeners are the sockets that a Relay serves.
type Listeners struct {
	Callers, Ready, Peers, Operators net.Listener
}

// Listen opens the listeners named in the settings.
func Listen(ctx context.Context, p *prefs.Prefs) (Listeners, error) {
	var l Listeners
	err := httpd.ListenAll(ctx, p.Limits.WriteTimeout, []httpd.ListenSpec{
		{Listener: &l.Callers, Addr: p.Listen.Callers},
		{Listener: &l.Ready, Addr: p.Relay.Ready},
		{Listener: &l.Peers, Addr: p.Node.Peer},
		{Listener: &l.Operators, Addr: p.Listen.Operators},
	})
	if err != nil {
		l.Close()
		return Listeners{}, err
	}
	return l, nil
}

// Close closes all listeners that were opened.
func (l Listeners) Close() {
	for _, listener := range []net.Listener{l.Callers, l.Ready, l.Peers, l.Operators} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
