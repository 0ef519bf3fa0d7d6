import assert from "node:assert/strict";
import { test } from "node:test";
import { createBodyBudget } from "../../lib/node/limitedBody.js";
import { createEventLog } from "../../lib/observability/index.js";
import { startCallerServer } from "../../lib/router/callerServer.js";
import { serveExchange } from "../../lib/router/exchange.js";
import type { ExchangeContext } from "../../lib/router/exchangeState.js";
import { sendCall } from "./routerHarness.js";

// Guards against a fault in the code for one request that ends the process and all other requests.
test("a request whose handling throws is answered, and the process goes on", async () => {
    const lines: string[] = [];
    const log = createEventLog({ process: "p", role: "entry", now: () => 0, write: line => void lines.push(line) });
    const context = {
        bodyBudget: createBodyBudget(1),
        log,
        now: () => 0,
        isDraining: () => {
            throw new Error("unexpected");
        },
        closeAfter: () => undefined,
    } as unknown as ExchangeContext;
    const server = await startCallerServer("127.0.0.1:0", (request, response) => {
        return serveExchange(context, request, response);
    });
    const response = await sendCall(server.port, { path: "/read/" });
    assert.equal(response.status, 500);
    assert.match(lines.join(), /"request failed".*/);
    server.stopListening();
    server.close();
});
