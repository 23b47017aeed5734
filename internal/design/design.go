// Package design describes the callers' interface; goa generates from it.
package design

import . "goa.design/goa/v3/dsl"

var _ = API("jasmineshed", func() {
	Title("jasmineshed callers' interface")
})

var _ = Service("pipelines", func() {
	Method("stream", func() {
		Payload(func() {
			Attribute("pipeline", String)
			Attribute("input", String)
			Required("pipeline", "input")
		})
		StreamingResult(func() {
			Attribute("kind", String)
			Attribute("data", String)
			Required("kind", "data")
		})
		HTTP(func() {
			POST("/v1/pipelines/{pipeline}/stream")
			ServerSentEvents(func() {
				SSEEventType("kind")
				SSEEventData("data")
			})
		})
	})
	Method("run", func() {
		Payload(func() {
			Attribute("pipeline", String)
			Attribute("input", String)
			Required("pipeline", "input")
		})
		Result(String)
		HTTP(func() {
			POST("/v1/pipelines/{pipeline}/requests")
		})
	})
})
