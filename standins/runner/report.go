package runner

import (
	"fmt"

	"github.com/valyala/fasthttp"
)

// report answers a call for the runner's report. A call takes no slot and is no run. Its start is
// that of the entry until the runner has crashed.
func (r *Runner) report(ctx *fasthttp.RequestCtx) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ctx.SetContentType("application/json")
	ctx.SetBodyString(fmt.Sprintf(`{"stage":"both","busy":false,"sequence":1,"queued":0,"running":0,"born":%d,"runs":[]}`, entryStart+r.crashes))
}
