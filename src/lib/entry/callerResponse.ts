/** Writes a dispatched request's response to the caller's HTTP connection. */
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import type { AnswerHead } from "../rpc/index.js";
import { sendProblem } from "./problem.js";
import type { DispatchResult, ResponseReceiver } from "./work.js";

/** A caller that reads nothing for this long is disconnected, to free its slot at the engine. */
const SLOW_CALLER_TIMEOUT_MS = 15_000;

export interface CallerResponse extends ResponseReceiver {
    /** Ends the response: normally, with a problem document, or by aborting a response that has started. */
    finish(result: DispatchResult): void;
}

/** Errors after the response head are sent as an event in an event stream; any other response is aborted. */
export function createCallerResponse(response: ServerResponse): CallerResponse {
    const disconnection = new AbortController();
    response.on("close", () => {
        if (!response.writableFinished) disconnection.abort();
    });
    let isEventStream = false;

    function head({ status, headers }: AnswerHead): void {
        const headerFields = Object.fromEntries(headers.map(({ name, value }) => [name, value]));
        isEventStream = (headerFields["content-type"] ?? "").startsWith("text/event-stream");
        response.writeHead(status, headerFields);
    }

    async function data(bytes: Buffer): Promise<void> {
        if (response.write(bytes)) return;
        try {
            const timeout = AbortSignal.timeout(SLOW_CALLER_TIMEOUT_MS);
            await once(response, "drain", { signal: AbortSignal.any([disconnection.signal, timeout]) });
        }
        catch {
            response.destroy();
        }
    }

    function finish(result: DispatchResult): void {
        if (result.kind === "complete") {
            response.end();
            return;
        }
        const { verdict, reason, retryAfterMs } = result;
        if (!response.headersSent) {
            const status = result.status || (verdict === "notRun" ? 503 : 502);
            sendProblem(response, { status, title: "the request failed", detail: reason, verdict, retryAfterMs });
        }
        else if (isEventStream) {
            response.end(`data: ${JSON.stringify({ error: { message: reason, type: "server_error", verdict } })}\n\n`);
        }
        else response.destroy();
    }

    return { head, data, finish, signal: disconnection.signal };
}
