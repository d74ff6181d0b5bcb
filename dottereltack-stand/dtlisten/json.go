package dtlisten

import (
	"encoding/json"

	"github.com/valyala/fasthttp"
)

// WriteJSON sets the response body to the JSON encoding of v, or the status to 500 if v cannot be encoded.
func WriteJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
