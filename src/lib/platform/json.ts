/** Parses JSON from outside, where text that isn't JSON is an ordinary case. */

/** Returns `undefined` for text that isn't JSON. */
export function parseJson(text: Buffer | string): unknown {
    try {
        return JSON.parse(text.toString());
    }
    catch {
        return undefined;
    }
}
