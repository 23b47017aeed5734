// Package design describes the HTTP interface for callers; goa generates code from it.
package design

import . "goa.design/goa/v3/dsl"

var _ = API("jasmineshed", func() {
	Title("jasmineshed callers' interface")
})

// idPattern is the pattern that every id from outside must match before it is used.
const idPattern = `^[A-Za-z0-9._-]{1,64}$`

var Rule = Type("Rule", func() {
	Description("The line of the rules behind a decision.")
	Attribute("line", Int, "Line in the rules, from 1.")
	Attribute("asked", String, "Who asked for it.")
	Required("line", "asked")
})

var StageCost = Type("StageCost", func() {
	Description("Millionths of a server-second.")
	Attribute("useful", UInt64)
	Attribute("wasted", UInt64, "Cancelled, superseded, late and failed attempts.")
	Required("useful", "wasted")
})

var Stage = Type("Stage", func() {
	Description("What ran of one stage, and what it cost.")
	Attribute("stage", String)
	Attribute("server", String)
	Attribute("zone", String)
	Attribute("attempts", UInt)
	Attribute("ran", Boolean, "False only if no attempt can have reached a backend server.")
	Attribute("took_ms", Float64)
	Attribute("tokens", UInt32)
	Attribute("cost", StageCost)
	Required("stage", "attempts", "ran", "took_ms", "tokens", "cost")
})

var Passage = Type("Passage", func() {
	Attribute("id", String)
	Attribute("text", String)
	Attribute("score", Float64)
	Required("id", "text", "score")
})

var Output = Type("Output", func() {
	Description("What the stages produced.")
	Attribute("text", String)
	Attribute("receipt", String)
	Attribute("passages", ArrayOf(Passage))
	Attribute("vector", ArrayOf(Float32))
})

var Answer = Type("Answer", func() {
	Description("The one final answer to a request; also the body of every refusal.")
	ErrorName("status", String, "Short name of the HTTP status.")
	Attribute("outcome", String, func() {
		Enum("complete", "not_run", "refused", "outcome_unknown", "failed",
			"deadline_exceeded", "cancelled")
	})
	Attribute("reason", String, "Why the outcome is not complete.")
	Attribute("message", String, "The reason for a person to read.")
	Attribute("request_id", String)
	Attribute("trace_id", String)
	Attribute("rule", Rule)
	Attribute("retry_after_ms", Int64, "When to come back, if that may help.")
	Attribute("retry_after", Int, "The same in whole seconds, as the header Retry-After.")
	Attribute("stages", ArrayOf(Stage))
	Attribute("payload", Output)
	Required("status", "outcome")
})

var Ticket = Type("Ticket", func() {
	Description("Allows one run of a non-idempotent pipeline.")
	Attribute("request_id", String)
	Attribute("expires_in_ms", Int64)
	Required("request_id", "expires_in_ms")
})

var Health = Type("Health", func() {
	Attribute("status", String)
	Required("status")
})

// requestIDPattern allows longer ids: a ticket's id contains the address of its home, which
// may be an IPv6 address.
const requestIDPattern = `^[A-Za-z0-9._-]{1,128}$`

func credentialAttributes() {
	Attribute("workspace", String, func() { Pattern(idPattern) })
	Attribute("token", String, "Authorization: Bearer TOKEN")
	Required("workspace")
}

func credentialHeaders() {
	Header("workspace:X-Workspace")
	Header("token:Authorization")
}

func pipelineAttribute() {
	Attribute("pipeline", String, func() { Pattern(idPattern) })
	Required("pipeline")
}

func requestIDAttribute() {
	Attribute("request_id", String, "The ticket's id.", func() { Pattern(requestIDPattern) })
	Required("request_id")
}

func payloadAttributes() {
	Attribute("input", String)
	Attribute("max_tokens", UInt32, "Bounds what a generate stage produces; 0 leaves it to the engine.")
	Attribute("budget_ms", Int64, "The caller's own time limit; bounded by the pipeline's deadline.", func() {
		Minimum(1)
		Maximum(3600000)
	})
	Required("input")
}

var _ = Service("pipelines", func() {
	Error("bad_request", Answer)
	Error("unauthenticated", Answer)
	Error("forbidden", Answer)
	Error("not_found", Answer)
	Error("outcome_unknown", Answer)
	Error("gone", Answer)
	Error("too_large", Answer)
	Error("needs_ticket", Answer)
	Error("failed", Answer)
	Error("unavailable", Answer)
	Error("deadline_exceeded", Answer)
	HTTP(func() {
		Response("bad_request", StatusBadRequest)
		Response("unauthenticated", StatusUnauthorized)
		Response("forbidden", StatusForbidden)
		Response("not_found", StatusNotFound)
		Response("outcome_unknown", StatusConflict)
		Response("gone", StatusGone)
		Response("too_large", StatusRequestEntityTooLarge)
		Response("needs_ticket", StatusPreconditionRequired)
		Response("failed", StatusBadGateway)
		Response("unavailable", StatusServiceUnavailable, func() {
			Header("retry_after:Retry-After")
		})
		Response("deadline_exceeded", StatusGatewayTimeout)
	})

	Method("run", func() {
		Description("Runs an idempotent pipeline and answers with the whole result.")
		Payload(func() {
			credentialAttributes()
			pipelineAttribute()
			payloadAttributes()
		})
		Result(Answer)
		HTTP(func() {
			POST("/v1/pipelines/{pipeline}/requests")
			credentialHeaders()
		})
	})
	Method("stream", func() {
		Description("Runs an idempotent pipeline and streams what goes on: stage, text, reset, beat, answer.")
		Payload(func() {
			credentialAttributes()
			pipelineAttribute()
			payloadAttributes()
		})
		StreamingResult(func() {
			Attribute("kind", String)
			Attribute("data", String, "JSON in one line.")
			Required("kind", "data")
		})
		HTTP(func() {
			POST("/v1/pipelines/{pipeline}/stream")
			credentialHeaders()
			ServerSentEvents(func() {
				SSEEventType("kind")
				SSEEventData("data")
			})
		})
	})
	Method("issue", func() {
		Description("Gives out a ticket for one run of a non-idempotent pipeline.")
		Payload(func() {
			credentialAttributes()
			pipelineAttribute()
		})
		Result(Ticket)
		HTTP(func() {
			POST("/v1/tickets")
			credentialHeaders()
			Response(StatusCreated)
		})
	})
	Method("once", func() {
		Description("Runs a pipeline at most once for its ticket; a repeat gets the same answer.")
		Payload(func() {
			credentialAttributes()
			requestIDAttribute()
			pipelineAttribute()
			payloadAttributes()
		})
		Result(Answer)
		HTTP(func() {
			PUT("/v1/requests/{request_id}")
			credentialHeaders()
		})
	})
	Method("result", func() {
		Description("The answer to a ticketed request; waits for it if it runs.")
		Payload(func() {
			credentialAttributes()
			requestIDAttribute()
		})
		Result(Answer)
		HTTP(func() {
			GET("/v1/requests/{request_id}")
			credentialHeaders()
		})
	})
})

var NotReady = Type("NotReady", func() {
	ErrorName("status", String)
	Required("status")
})

var _ = Service("health", func() {
	Error("not_ready", NotReady)
	Method("live", func() {
		Result(Health)
		HTTP(func() { GET("/healthz") })
	})
	Method("ready", func() {
		Description("Tells the balancer whether this VM takes requests.")
		Result(Health)
		HTTP(func() {
			GET("/readyz")
			Response("not_ready", StatusServiceUnavailable)
		})
	})
})
