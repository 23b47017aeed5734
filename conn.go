package shed

// RequestConn is a connection that has to know where requests begin.
type RequestConn interface {
	// BeginRequest says that the next byte written is the first one of a request. It doesn't block.
	BeginRequest()
}
