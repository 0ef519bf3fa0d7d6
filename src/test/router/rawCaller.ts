/** A caller for tests that writes raw bytes, so that a test can stop at any step of a request. */
import { connect, type Socket } from "node:net";

export interface RawResponse {
    /** 0 if the connection ended before a complete response. */
    readonly status: number;
    readonly head: string;
    readonly body: string;
}

export interface RawCaller {
    readonly socket: Socket;
    send(text: string): void;
    /**
     * Resolves with the next response, once it is complete or its connection has ended. With `hasNoBody` the response
     * ends after its head.
     */
    nextResponse(hasNoBody?: boolean): Promise<RawResponse>;
    /** Returns the bytes that no returned response includes. */
    received(): string;
    isClosed(): boolean;
    /** Returns the first error of the connection, such as a reset. */
    error(): Error | undefined;
    close(): void;
}

export interface RawRequest {
    readonly path: string;
    readonly method?: string;
    /** `undefined` sends no identifier. */
    readonly id?: string | undefined;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
}

/** Returns the bytes of a request with the key of the test configuration. */
export function formatRequest({ path, method = "POST", id, headers = {}, body }: RawRequest): string {
    const allHeaders: Record<string, string> = {
        Host: "site.example",
        Key: "key-a",
        ...id === undefined ? {} : { "Attempt-Id": id },
        ...body === undefined ? {} : { "Content-Length": String(body.length) },
        ...headers,
    };
    const lines = Object.entries(allHeaders).map(([name, value]) => `${name}: ${value}\r\n`);
    return `${method} ${path} HTTP/1.1\r\n${lines.join("")}\r\n${body ?? ""}`;
}

export async function openRawCaller(port: number, host = "127.0.0.1"): Promise<RawCaller> {
    const socket = connect({ port, host, allowHalfOpen: true, noDelay: true });
    let pending = "";
    let isClosed = false;
    let wake = () => undefined as void;
    socket.on("data", data => {
        pending += data.toString("latin1");
        wake();
    });
    let firstError: Error | undefined;
    socket.on("error", error => firstError ??= error);
    for (const event of ["end", "close", "error"]) {
        socket.on(event, () => {
            isClosed = true;
            wake();
        });
    }
    await new Promise(resolve => socket.once("connect", resolve));

    /** Length of `pending` below which a large response isn't parsed again. */
    let minLength = 0;

    function takeResponse(hasNoBody: boolean): RawResponse | undefined {
        if (pending.length < minLength) return undefined;
        const headEnd = pending.indexOf("\r\n\r\n");
        if (headEnd < 0) return undefined;
        const head = pending.slice(0, headEnd);
        const rest = pending.slice(headEnd + 4);
        const length = Number(/^content-length: ?(\d+)$/im.exec(head)?.[1] ?? Number.NaN);
        const bodyEnd = hasNoBody ? 0 : Number.isNaN(length) ? rest.indexOf("0\r\n\r\n") + 5 : length;
        minLength = Number.isNaN(length) || hasNoBody ? 0 : headEnd + 4 + length;
        if (rest.length < bodyEnd || Number.isNaN(length) && !hasNoBody && bodyEnd < 5) return undefined;
        minLength = 0;
        pending = rest.slice(bodyEnd);
        return { status: Number(head.split(" ")[1]), head, body: rest.slice(0, bodyEnd) };
    }

    return {
        socket,
        send: text => void socket.write(text),
        nextResponse: async (hasNoBody = false) => {
            for (;;) {
                const response = takeResponse(hasNoBody);
                if (response !== undefined) return response;
                if (isClosed) return { status: 0, head: "", body: pending };
                await new Promise<void>(resolve => {
                    wake = resolve;
                });
            }
        },
        received: () => pending,
        isClosed: () => isClosed,
        error: () => firstError,
        close: () => socket.destroy(),
    };
}
