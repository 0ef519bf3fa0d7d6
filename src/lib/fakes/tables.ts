/** Fake transactional table service: in-memory rows with entity tags and conditional writes. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { FaultSwitches } from "./faults.js";
import { readBody, sendCompressibleJson, sendJson } from "./httpServer.js";

interface Row {
    readonly body: Buffer;
    readonly etag: string;
}

export interface FakeTables {
    serve(request: IncomingMessage, response: ServerResponse): Promise<void>;
}

export function createFakeTables(faults: FaultSwitches): FakeTables {
    const rows = new Map<string, Row>();
    let writeCount = 0;

    async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        if (faults.current().tableOutage) {
            request.socket.destroy();
            return;
        }
        const key = decodeURIComponent((request.url ?? "").replace(/^\/tables\//, ""));
        if (request.method === "GET") return serveRead(key, request, response);
        const body = await readBody(request);
        const hasConflict = violatesCondition(request, rows.get(key));
        if (hasConflict) return sendJson(response, 412, { error: "entity tag precondition failed" });
        writeCount++;
        const etag = `"${writeCount}"`;
        if (request.method === "DELETE") rows.delete(key);
        else rows.set(key, { body, etag });
        if (faults.shouldInject(faults.current().loseAnswers)) {
            response.destroy();
            return;
        }
        sendJson(response, 200, {}, { etag });
    }

    function serveRead(key: string, request: IncomingMessage, response: ServerResponse): void {
        const row = rows.get(key);
        if (row === undefined) return sendJson(response, 404, { error: "no such row" });
        if (request.headers["if-none-match"] === row.etag) {
            response.writeHead(304, { etag: row.etag });
            response.end();
            return;
        }
        sendCompressibleJson(request, response, row.body, { etag: row.etag });
    }

    return { serve };
}

function violatesCondition(request: IncomingMessage, row: Row | undefined): boolean {
    const { "if-match": ifMatch, "if-none-match": ifNoneMatch } = request.headers;
    if (ifNoneMatch === "*" && row !== undefined) return true;
    return ifMatch !== undefined && ifMatch !== row?.etag;
}
