/** Responses of the soak's servers: whole ones, and each way to fail that the requirements list. */
import { setTimeout as sleep } from "node:timers/promises";
import { completeResponse, encodeChunk, type ReceivedRequest, streamResponseHead } from "../platform/fakeRunner.js";
import { eventTexts, expectedBody } from "./ledger.js";

/**
 * The fault proxy treats a reset that arrives together with bytes as a normal end, so the reset is sent after a delay.
 */
const RESET_DELAY_MS = 50;

/** A sound server may be silent for about a second and go on. Entries look for another one after a second. */
const SILENCE_MS = 1200;

/** Returns whether the server of a call is silent for a while; `draw` is the call's random number. */
const isSilent = (draw: number) => draw > 0.5 && draw < 0.52;

/** Returns whether the server sends a complete response to a call that it executes. */
export const isCompletelyAnswered = (draw: number) => draw >= 0.14;

/** Responds to a call that the server executes; `draw` selects the response, and `headers` are added to it. */
export function sendRunResponse(request: ReceivedRequest, draw: number, headers: string): void {
    if (draw < 0.06) {
        request.socket.resetAndDestroy();
        return;
    }
    if (draw < 0.065) return;
    if (/ \/talk\//.test(request.head)) void sendStreamResponse(request, draw, headers);
    else setTimeout(() => sendPlainResponse(request, draw, headers), draw * 60 + (isSilent(draw) ? SILENCE_MS : 0));
}

function sendPlainResponse(request: ReceivedRequest, draw: number, headers: string): void {
    const { socket, attemptId: id } = request;
    const body = expectedBody("read", id);
    const head = `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nResponse-Seal: s\r\n${headers}`;
    if (draw < 0.08) socket.write(completeResponse(request, "failed", "500 Internal Server Error", headers));
    else if (draw < 0.1) socket.end(`${head}\r\n${body}`);
    else if (draw < 0.11) {
        socket.write(`${head}\r\n${body.slice(0, 5)}`);
        setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
    }
    else if (draw < 0.12) socket.end(`${head}Content-Length: ${body.length}\r\n\r\n${body.slice(0, 5)}`);
    else socket.write(completeResponse(request, body, "200 OK", headers));
    if (draw > 0.98) setTimeout(() => socket.write(completeResponse(request, "extra")), 10);
}

async function sendStreamResponse(request: ReceivedRequest, draw: number, headers: string): Promise<void> {
    const { socket, attemptId: id } = request;
    const texts = eventTexts(id, 1 + Number(request.header("last-event-id") || "0"));
    const middle = Math.floor(texts.length / 2);
    const breakAt = isCompletelyAnswered(draw) ? -1 : middle;
    socket.write(streamResponseHead(request, headers));
    for (const [index, text] of texts.entries()) {
        if (index === breakAt) {
            socket.write(encodeChunk(text.slice(0, 9)), () => socket.resetAndDestroy());
            return;
        }
        if (index === middle && isSilent(draw)) await sleep(SILENCE_MS);
        if (socket.destroyed) return;
        socket.write(encodeChunk(text));
        await sleep(8);
    }
    socket.write("0\r\n\r\n");
}
