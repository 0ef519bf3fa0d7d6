/**
 * Client of the platform's object store. The weight store uses the same protocol, with manifests under
 * `manifests/ROOT` and chunks under `chunks/DIGEST`.
 */
import type { IncomingMessage } from "node:http";
import VError from "verror";
import type { Digest } from "../core/index.js";
import { openRequest, sendRequest } from "./http.js";

export interface ObjectStore {
    /** Returns the object, or `undefined` if it doesn't exist. Throws a VError if the store fails. */
    get(key: string): Promise<Buffer | undefined>;
    /** Opens an object as a stream, which the caller must consume or destroy. Throws a VError if that fails. */
    open(key: string, signal: AbortSignal): Promise<IncomingMessage>;
    has(key: string): Promise<boolean>;
    put(key: string, content: Uint8Array): Promise<void>;
}

export interface ObjectStoreOptions {
    readonly url: string;
    /** A request fails after this time without receiving any byte. */
    readonly timeoutMs: number;
}

export function createObjectStore(options: ObjectStoreOptions): ObjectStore {
    const { timeoutMs } = options;
    const objectUrl = (key: string) => `${options.url}/objects/${key.split("/").map(encodeURIComponent).join("/")}`;

    async function get(key: string): Promise<Buffer | undefined> {
        const response = await sendRequest({ method: "GET", url: objectUrl(key), timeoutMs });
        if (response.status === 404) return undefined;
        checkStatus(response.status, 200, key);
        return response.body;
    }

    async function open(key: string, signal: AbortSignal): Promise<IncomingMessage> {
        const response = await openRequest({ method: "GET", url: objectUrl(key), timeoutMs, signal });
        if (response.statusCode !== 200) {
            response.destroy();
            checkStatus(response.statusCode ?? 0, 200, key);
        }
        return response;
    }

    async function has(key: string): Promise<boolean> {
        const response = await sendRequest({ method: "HEAD", url: objectUrl(key), timeoutMs });
        if (response.status === 404) return false;
        checkStatus(response.status, 200, key);
        return true;
    }

    async function put(key: string, content: Uint8Array): Promise<void> {
        const response = await sendRequest({ method: "PUT", url: objectUrl(key), body: content, timeoutMs });
        if (response.status !== 200 && response.status !== 201) checkStatus(response.status, 201, key);
    }

    return { get, open, has, put };
}

export function manifestKey(rootDigest: Digest): string {
    return `manifests/${rootDigest}`;
}

/** Returns the key of the object that contains the root digest of a model's last published version. */
export function latestKey(model: string): string {
    return `models/${encodeURIComponent(model)}/latest`;
}

export function chunkKey(digest: Digest): string {
    return `chunks/${digest}`;
}

function checkStatus(status: number, expected: number, key: string): void {
    if (status === expected) return;
    throw new VError(
        { name: "ObjectStoreError", info: { status } },
        "the object store returned status %d for %s",
        status,
        key,
    );
}
