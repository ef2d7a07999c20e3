package engine

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"cyclamenhitch/adapters/httpstatus"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/orders"
	"cyclamenhitch/core/result"
)

// OrderClient reads the state reports of engines and sends control orders to them.
type OrderClient struct {
	// Client is used for all engines; nil selects fasthttp's default client.
	Client *fasthttp.Client
}

func (o *OrderClient) do(req *fasthttp.Request, resp *fasthttp.Response, timeout time.Duration) error {
	do := fasthttp.DoTimeout
	if o.Client != nil {
		do = o.Client.DoTimeout
	}
	if err := do(req, resp, timeout); err != nil {
		return err
	}
	return httpstatus.CheckHeader1(&resp.Header)
}

// Report fetches the state report of an engine.
func (o *OrderClient) Report(_ context.Context, srv *manifest.Server, timeout time.Duration) (orders.Report, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + srv.Address + "/load")
	var r orders.Report
	if err := o.do(req, resp, timeout); err != nil {
		return r, result.Wrap(result.ConnectionLost, err, "report of server %s", srv.Name)
	}
	if httpstatus.Of(&resp.Header) != fasthttp.StatusOK {
		return r, result.New(result.ServerError, "server %s answered status %d to a report request", srv.Name, httpstatus.Of(&resp.Header))
	}
	if err := json.Unmarshal(resp.Body(), &r); err != nil {
		return r, result.Wrap(result.AnswerInvalid, err, "report of server %s", srv.Name)
	}
	if r.Incarnation == 0 {
		return r, result.New(result.AnswerInvalid, "server %s answered with something else than its report", srv.Name)
	}
	r.Engine = srv.Name
	return r, nil
}

// Send sends an order on a new connection, which is closed when the timeout expires,
// so that an engine cannot receive the order after that.
func (o *OrderClient) Send(_ context.Context, srv *manifest.Server, order orders.Order, timeout time.Duration) error {
	body, err := json.Marshal(order)
	if err != nil {
		return result.As(err)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + srv.Address + "/orders")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetConnectionClose()
	req.SetBodyRaw(body)
	if err := o.do(req, resp, timeout); err != nil {
		return result.Wrap(result.ConnectionLost, err, "order to server %s", srv.Name)
	}
	switch code := httpstatus.Of(&resp.Header); {
	case code == fasthttp.StatusConflict:
		return result.New(result.LeaseLost, "server %s knows a higher fencing number than %d", srv.Name, order.Fencing)
	case code >= 300:
		return result.New(result.ServerError, "server %s answered status %d to an order", srv.Name, code)
	}
	return nil
}
