// Package fault runs programs as processes for tests and strikes them from
// outside: by signals, and by proxies on loopback that stand on their
// connections. The product does not import it.
package fault
