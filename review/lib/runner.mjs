/** Stand-ins of a runner (plain or with a model engine) and of the origin of weights. */
import { createHash } from "node:crypto";
import * as http from "node:http";

export const LAYERS = 16;

/** Time in which an engine loads the staged layers. */
const WARM_MS = 300;

/** Three heartbeat intervals of 1.2 s, after which the row of a silent runner is removed. */
const ROW_LAPSE_MS = 3600;

/** Time after which a crashed runner is back. */
const CRASH_DOWN_MS = 4000;

const EVENT_INTERVAL_MS = 40;
const EVENT_COUNT = 10;
const PLAIN_WORK_MS = 15;

export const pieceBytes = (version, index, size) => {
    const bytes = Buffer.alloc(size, index + 1);
    bytes.write(`version ${version} piece ${index}`);
    return bytes;
};

const digestOf = bytes => createHash("sha256").update(bytes).digest("hex");

/** Weights of one model: `chunks` pieces of `chunkBytes` each. */
export function createWeights({ model, chunks, chunkBytes }) {
    const digests = new Map();
    const digestsOf = version => {
        if (!digests.has(version)) {
            digests.set(
                version,
                Array.from({ length: chunks }, (_, index) => digestOf(pieceBytes(version, index, chunkBytes))),
            );
        }
        return digests.get(version);
    };
    return { model, chunks, chunkBytes, digestsOf };
}

function readBody(request) {
    return new Promise((resolve, reject) => {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", () => resolve(Buffer.concat(chunks)));
        request.on("error", reject);
    });
}

function sendJson(response, status, value) {
    response.writeHead(status, { "Content-Type": "application/json" }).end(JSON.stringify(value));
}

/**
 * Starts a runner. `weights` is set for a model engine.
 */
export async function startRunner(context, store, options) {
    const { service, ip, zone, slots = 16, weights, initialVersion = 0 } = options;
    /**
     * `onRun` is called when a request is taken, `onBegin` when a stream begins with its first event. `isDeadly` tells
     * whether the runner crashes when it begins to answer a request with these headers.
     */
    const { onRun = () => undefined, onBegin = () => undefined, isDeadly = () => false } = options;
    let { id } = options;
    let restartCount = 0;
    let born = Date.now();
    let sequence = 0;
    let activeCount = 0;
    let isBusy = false;
    let loadedVersion = initialVersion;
    let isOn = true;
    /** Whether all pieces of the loaded version lay staged, sound and of that version, when the order was accepted. */
    let isWhole = initialVersion > 0;
    /** What lies staged at the engine, by index of the piece. */
    let staged = new Map();
    if (weights !== undefined && initialVersion > 0) stageAll(initialVersion);

    function stageAll(version) {
        for (let index = 0; index < weights.chunks; index++) {
            staged.set(index, pieceBytes(version, index, weights.chunkBytes));
        }
    }

    const models = () => loadedVersion === 0 ? [] : [{ name: weights.model, version: loadedVersion, adapters: [] }];
    const layers = () => loadedVersion === 0 ? null : { from: 0, to: LAYERS, version: loadedVersion };
    const engineFields = () => weights === undefined ? {} : { stage: "unified", models: models(), layers: layers() };

    function register() {
        store.put("servers", id, {
            service,
            address,
            zone,
            version: "v1",
            slots,
            state: "ready",
            "cold-remaining-ms": 0,
            sequence,
            born,
            ...engineFields(),
        });
    }

    /** Returns the version that lies staged whole; 0 if pieces are missing, spoilt or of several versions. */
    function stagedVersion(version) {
        const digests = weights.digestsOf(version);
        return digests.every((digest, index) => staged.has(index) && digestOf(staged.get(index)) === digest) ? version : 0;
    }

    async function load(version) {
        isBusy = true;
        sequence++;
        const whole = stagedVersion(version);
        context.write(`${id} accepted the order of version ${version}, staged data ${whole > 0 ? "whole" : "not whole"}`);
        while (activeCount > 0) await new Promise(resolve => setTimeout(resolve, 10));
        await new Promise(resolve => setTimeout(resolve, WARM_MS));
        loadedVersion = version;
        isWhole = whole > 0;
        isBusy = false;
        context.write(`${id} loaded version ${version}`);
        register();
    }

    async function serveEngine(request, response, url) {
        if (url.pathname === "/-/report") {
            sendJson(response, 200, {
                ...engineFields(),
                busy: isBusy,
                sequence,
                queued: 0,
                active: activeCount,
                "kv-used": 0,
                "kv-total": 90_000,
                handles: 0,
                pace: 1,
                born,
            });
            return;
        }
        if (url.pathname.startsWith("/-/stage-put/")) {
            staged.set(Number(url.searchParams.get("num-items")), await readBody(request));
            response.writeHead(200, { "Content-Length": 0 }).end();
            return;
        }
        if (url.pathname.startsWith("/-/stage-get/")) {
            const number = url.searchParams.get("num-items");
            if (number === null) sendJson(response, 200, { held: [...staged.keys()] });
            else if (!staged.has(Number(number))) response.writeHead(404, { "Content-Length": 0 }).end();
            else response.writeHead(200).end(staged.get(Number(number)));
            return;
        }
        const { op, version } = JSON.parse((await readBody(request)).toString());
        if (op !== "start") sendJson(response, 400, {});
        else if (isBusy) sendJson(response, 409, {});
        else if (loadedVersion === version) sendJson(response, 200, {});
        else {
            void load(version);
            sendJson(response, 202, {});
        }
    }

    function serveRequest(request, response, body) {
        const { headers } = request;
        const attemptId = headers["attempt-id"];
        if (headers["expect-instance"] !== undefined && headers["expect-instance"] !== id) {
            response.writeHead(421, { "Instance-Id": id, "Content-Length": 0 }).end();
            return;
        }
        const expectedVersion = headers["expect-version"];
        const lacksWeights = weights !== undefined &&
            (loadedVersion === 0 || expectedVersion !== undefined && Number(expectedVersion) !== loadedVersion);
        if (lacksWeights) {
            response.writeHead(421, { "Instance-Id": id, "Not-Executed": "1", "Content-Length": 0 }).end();
            return;
        }
        if (isBusy || activeCount >= slots) {
            response.writeHead(503, { "Not-Executed": "1", "Content-Length": 0 }).end();
            return;
        }
        activeCount++;
        let hasEnded = false;
        const end = () => {
            if (!hasEnded) activeCount--;
            hasEnded = true;
        };
        response.on("close", end);
        const incarnation = born;
        onRun({ id: attemptId, runner: id, tenant: headers.tenant, path: request.url, version: loadedVersion, body });
        const common = { "Attempt-Id": attemptId, "Response-Seal": `seal-${id}-${attemptId}` };
        if (weights === undefined) {
            setTimeout(() => {
                const text = JSON.stringify({ runner: id, attempt: attemptId });
                if (isOn && incarnation === born) {
                    response.writeHead(200, { ...common, "Content-Length": text.length }).end(text);
                }
            }, PLAIN_WORK_MS);
            return;
        }
        response.writeHead(200, {
            ...common,
            "Content-Type": "text/event-stream",
            "Weight-Versions": String(loadedVersion),
        });
        const runVersion = loadedVersion;
        let hasBegun = false;
        let eventId = Number(headers["last-event-id"] ?? 0);
        const sendNext = () => {
            if (response.destroyed || incarnation !== born) return;
            if (eventId >= EVENT_COUNT) {
                response.end();
                return;
            }
            if (isDeadly(headers)) {
                crash();
                return;
            }
            eventId++;
            if (!hasBegun) onBegin({ id: attemptId, runner: id, version: runVersion, isWhole });
            hasBegun = true;
            response.write(`id: ${eventId}\ndata: word${eventId}\n\n`);
            setTimeout(sendNext, EVENT_INTERVAL_MS);
        };
        setTimeout(sendNext, EVENT_INTERVAL_MS);
    }

    const server = http.createServer((request, response) => {
        const url = new URL(request.url, "http://runner");
        if (url.pathname.startsWith("/-/")) {
            serveEngine(request, response, url).catch(() => response.destroy());
            return;
        }
        readBody(request).then(body => serveRequest(request, response, body.toString()), () => response.destroy());
    });
    server.keepAliveTimeout = 5000;
    const sockets = new Set();
    const timers = [];
    server.on("connection", socket => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
    });
    const listen = port => new Promise(resolve => server.listen(port, ip, resolve));
    await listen(options.port ?? 0);
    const { port } = server.address();
    const address = `${ip}:${port}`;
    /** The process ends: staged data survive, and it is back after some seconds, without layers and under a new id. */
    function crash() {
        if (!isOn) return;
        isOn = false;
        context.write(`${id} crashes`);
        options.onCrash?.(id);
        born = 0;
        activeCount = 0;
        loadedVersion = 0;
        isBusy = false;
        for (const socket of sockets) socket.resetAndDestroy();
        server.close();
        const crashedId = id;
        timers.push(setTimeout(() => store.remove("servers", crashedId), ROW_LAPSE_MS));
        timers.push(setTimeout(() => {
            restartCount++;
            id = `${options.id}-${restartCount}`;
            born = Date.now();
            sequence = 0;
            isOn = true;
            void listen(port).then(() => {
                context.write(`${id} is back`);
                register();
            });
        }, CRASH_DOWN_MS));
    }

    const close = () => {
        const closed = new Promise(resolve => server.close(resolve));
        server.closeAllConnections();
        return closed;
    };
    context.onEnd(() => {
        for (const timer of timers) clearTimeout(timer);
        return isOn ? close() : undefined;
    });
    register();
    return {
        id,
        address,
        loadedVersion: () => loadedVersion,
        /** The machine loses power: the engine's layers and what lies staged are gone. */
        powerOff: async () => {
            isOn = false;
            born = 0;
            activeCount = 0;
            loadedVersion = 0;
            isBusy = false;
            staged = new Map();
            await close();
        },
        powerOn: async () => {
            born = Date.now();
            sequence = 0;
            isOn = true;
            await listen(port);
            register();
        },
    };
}

/**
 * Starts the origin of weights. `garble` may return other bytes for an answer: it gets "manifest" or "piece", the index
 * of the piece and the sound bytes. `linkMbps` limits its link. Versions that are two or more behind the newest one that
 * `announce` was called with get 410.
 */
export async function startOrigin(
    context,
    weights,
    { ip, garble = (_kind, _index, bytes) => bytes, linkMbps = Number.POSITIVE_INFINITY },
) {
    const counts = { manifest: 0, piece: 0, gone: 0 };
    let newestVersion = 1;
    let linkFreeAt = 0;
    /** Resolves when the link has carried the bytes, after all that were sent before. */
    function carry(byteCount) {
        const now = performance.now();
        linkFreeAt = Math.max(linkFreeAt, now) + byteCount * 8 / (linkMbps * 1000);
        return new Promise(resolve => setTimeout(resolve, linkFreeAt - now));
    }
    const server = http.createServer((request, response) => {
        const url = new URL(request.url, "http://origin");
        const version = Number(url.searchParams.get("version") ?? newestVersion);
        if (version <= newestVersion - 2) {
            counts.gone++;
            response.writeHead(410, { "Content-Length": 0 }).end();
            return;
        }
        const send = (bytes, headers = {}) =>
            void carry(bytes.length).then(() => {
                response.writeHead(200, { ...headers, "Content-Length": bytes.length }).end(bytes);
            });
        if (url.pathname.startsWith("/-/manifest/")) {
            counts.manifest++;
            const { model, chunkBytes } = weights;
            const digests = weights.digestsOf(version);
            const manifest = { model, version, "chunk-bytes": chunkBytes, layers: LAYERS, digests };
            send(garble("manifest", undefined, Buffer.from(JSON.stringify(manifest))), {
                "Content-Type": "application/json",
            });
            return;
        }
        counts.piece++;
        const index = Number(url.searchParams.get("num-items"));
        send(garble("piece", index, pieceBytes(version, index, weights.chunkBytes)));
    });
    await new Promise(resolve => server.listen(0, ip, resolve));
    context.onEnd(() => {
        server.close();
        server.closeAllConnections();
    });
    return {
        address: `${ip}:${server.address().port}`,
        counts,
        announce: version => {
            newestVersion = version;
        },
    };
}
