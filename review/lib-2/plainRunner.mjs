/** A plain runner, sound or in trouble: bytes without end come in the place of some answers. */
import * as http from "node:http";

/** Work on a request, as the sheet of korpela-punos gives it for calls. */
const WORK_MS = 85;

/** What a program sends that writes a few bytes at a time; each write is a chunk of its own. */
const CHUNK = Buffer.from("8\r\nno bytes\r\n");
const CHUNKS_PER_WRITE = 4096;

/**
 * Starts and registers a runner. It spoils each `spoiltEvery`-th answer; none if that is `undefined`. `onRun` is called
 * with the id of each request that it takes.
 */
export async function startPlainRunner(context, store, options) {
    const { id, service, ip, zone, slots, spoiltEvery, onRun = () => undefined, onSpoilt = () => undefined } = options;
    const block = Buffer.concat(Array.from({ length: CHUNKS_PER_WRITE }, () => CHUNK));
    let answerCount = 0;
    const server = http.createServer((request, response) => {
        const { headers } = request;
        request.resume();
        if (headers["expect-instance"] !== undefined && headers["expect-instance"] !== id) {
            response.writeHead(421, { "Instance-Id": id, "Content-Length": 0 }).end();
            return;
        }
        onRun(headers["attempt-id"]);
        const common = { "Attempt-Id": headers["attempt-id"], "Response-Seal": `seal-${id}` };
        setTimeout(() => {
            if (response.destroyed) return;
            if (spoiltEvery === undefined || ++answerCount % spoiltEvery !== 0) {
                response.writeHead(200, { ...common, "Content-Length": 2 }).end("ok");
                return;
            }
            onSpoilt(id);
            const { socket } = response;
            response.writeHead(200, { ...common, "Transfer-Encoding": "chunked" }).flushHeaders();
            const sendMore = () => {
                while (!socket.destroyed && socket.write(block));
            };
            socket.on("drain", sendMore);
            sendMore();
        }, WORK_MS);
    });
    server.on("connection", socket => socket.on("error", () => socket.destroy()));
    await new Promise(resolve => server.listen(0, ip, resolve));
    context.onEnd(() => {
        server.close();
        server.closeAllConnections();
    });
    store.put("servers", id, {
        service,
        address: `${ip}:${server.address().port}`,
        zone,
        version: "v1",
        slots,
        state: "ready",
        "cold-remaining-ms": 0,
        sequence: 0,
        born: Date.now(),
    });
}
