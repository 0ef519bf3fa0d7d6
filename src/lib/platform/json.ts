/** Parses JSON from other processes, where invalid input is expected. */

/** Returns `undefined` if the text isn't valid JSON. */
export function parseJson(text: Buffer | string): unknown {
    try {
        return JSON.parse(text.toString());
    }
    catch {
        return undefined;
    }
}
