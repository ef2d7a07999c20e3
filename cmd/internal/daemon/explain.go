package daemon

import (
	"time"

	"github.com/valyala/fasthttp"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/result"
	"cyclamenhitch/core/routing"
)

// Explanation is the answer of /admin/explain.
type Explanation struct {
	routing.Decision
	// Admitters are the instances that admit to the chosen engine, the primary first.
	Admitters []fleet.InstanceID `json:"admitters"`
	// Load and Mean are this instance's view, in tokens; Load is known only to
	// the primary admitter.
	Load int64   `json:"load"`
	Mean float64 `json:"mean"`
}

// handleExplain answers why a chat goes where it goes. The parameters are model,
// chat and account; without an account, the chat is taken as given.
func (c *adminComponent) handleExplain(ctx *fasthttp.RequestCtx) {
	st := c.d.admission.current()
	if st == nil {
		writeAdminError(ctx, result.New(result.NotReady, "the instance has no configuration yet"))
		return
	}
	args := ctx.QueryArgs()
	pool := st.table.Index.PoolByModel(string(args.Peek("model")))
	if pool == nil {
		writeAdminError(ctx, result.New(result.UnknownModel, "no pool serves model %q", args.Peek("model")))
		return
	}
	writeAdminJSON(ctx, c.d.admission.explain(st, pool, chatKeyFromArgs(args)))
}

// chatKeyFromArgs builds the chat key as the caller interface does.
func chatKeyFromArgs(args *fasthttp.Args) fleet.ChatKey {
	key := fleet.HashChatKey(args.Peek("chat"))
	if account := args.Peek("account"); len(account) > 0 {
		key = fleet.ChatKey(fleet.Mix(fleet.HashID(string(account)), uint64(key)))
	}
	return key
}

func (c *admissionComponent) explain(st *admissionState, pool *manifest.Pool, chat fleet.ChatKey) Explanation {
	e := Explanation{Decision: st.view.Explain(pool.Name, chat, time.Now(), c.recent), Mean: c.ledger.Mean(time.Now(), pool.Name)}
	for _, m := range st.table.Of(e.Chosen) {
		e.Admitters = append(e.Admitters, m.ID)
	}
	e.Load = c.ledger.Used(e.Chosen)
	return e
}
