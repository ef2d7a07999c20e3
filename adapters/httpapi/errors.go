package httpapi

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"cyclamenhitch/core/result"
)

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code             result.Code    `json:"code"`
	Name             string         `json:"name"`
	Message          string         `json:"message"`
	Outcome          result.Outcome `json:"outcome"`
	RetryAfterMillis int64          `json:"retry_after_ms,omitempty"`
}

func encodeError(e *result.Error) []byte {
	body, err := json.Marshal(errorBody{errorDetail{
		e.Code, e.Code.Info().Name, e.Message, e.Outcome, e.RetryAfter.Milliseconds(),
	}})
	if err != nil {
		return []byte(`{"error":{"code":5005,"name":"internal","outcome":"unknown"}}`)
	}
	return body
}

func writeError(ctx *fasthttp.RequestCtx, e *result.Error) {
	ctx.SetStatusCode(e.Code.Info().HTTPStatus)
	ctx.SetContentType("application/json")
	if e.RetryAfter > 0 {
		secs := int((e.RetryAfter + time.Second - 1) / time.Second)
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(secs))
	}
	ctx.SetBody(encodeError(e))
}
