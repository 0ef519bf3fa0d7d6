/** Stand-in of the transactional table service: rows with entity tags and conditional writes, in memory. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { FaultSwitches } from "./faults.js";
import { answerCompressible, answerJson, readBody } from "./httpServer.js";

interface Row {
    readonly body: Buffer;
    readonly etag: string;
}

export interface TablesStandIn {
    serve(request: IncomingMessage, response: ServerResponse): Promise<void>;
}

export function createTablesStandIn(faults: FaultSwitches): TablesStandIn {
    const rows = new Map<string, Row>();
    let writes = 0;

    async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        if (faults.current().tableOutage) {
            request.socket.destroy();
            return;
        }
        const key = decodeURIComponent((request.url ?? "").replace(/^\/tables\//, ""));
        if (request.method === "GET") return serveRead(key, request, response);
        const body = await readBody(request);
        const conflict = violates(request, rows.get(key));
        if (conflict) return answerJson(response, 412, { error: "the condition doesn't hold" });
        writes++;
        const etag = `"${writes}"`;
        if (request.method === "DELETE") rows.delete(key);
        else rows.set(key, { body, etag });
        if (faults.strikes(faults.current().loseAnswers)) {
            response.destroy();
            return;
        }
        answerJson(response, 200, {}, { etag });
    }

    function serveRead(key: string, request: IncomingMessage, response: ServerResponse): void {
        const row = rows.get(key);
        if (row === undefined) return answerJson(response, 404, { error: "no such row" });
        if (request.headers["if-none-match"] === row.etag) {
            response.writeHead(304, { etag: row.etag });
            response.end();
            return;
        }
        answerCompressible(request, response, row.body, { etag: row.etag });
    }

    return { serve };
}

function violates(request: IncomingMessage, row: Row | undefined): boolean {
    const { "if-match": ifMatch, "if-none-match": ifNoneMatch } = request.headers;
    if (ifNoneMatch === "*" && row !== undefined) return true;
    return ifMatch !== undefined && ifMatch !== row?.etag;
}
