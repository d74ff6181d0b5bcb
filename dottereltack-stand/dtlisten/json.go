package dtlisten

import (
	"encoding/json"

	"github.com/valyala/fasthttp"
)

// WriteJSON sets the response body to v in JSON.
func WriteJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
