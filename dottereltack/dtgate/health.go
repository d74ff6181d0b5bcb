package dtgate

import (
	"bytes"

	"github.com/gofiber/fiber/v3"

	"github.com/dottereltack/dottereltack/core/dtapi"
)

type healthSource interface {
	Ready() bool
	WriteMetrics(w *bytes.Buffer)
}

// AddHealthRoutes adds the health and metrics routes to the gateway.
func (g *Gateway) AddHealthRoutes(src healthSource) {
	g.app.Get(dtapi.PathHealth, func(c fiber.Ctx) error { return c.SendString("ok\n") })
	g.app.Get(dtapi.PathReady, func(c fiber.Ctx) error {
		if !src.Ready() {
			return c.Status(fiber.StatusServiceUnavailable).SendString("not ready\n")
		}
		return c.SendString("ready\n")
	})
	g.app.Get(dtapi.PathMetrics, func(c fiber.Ctx) error {
		var buf bytes.Buffer
		src.WriteMetrics(&buf)
		c.Set(fiber.HeaderContentType, "text/plain; charset=utf-8")
		return c.Send(buf.Bytes())
	})
}
