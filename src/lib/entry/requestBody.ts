/** Parses request bodies. */
/** Returns `undefined` for anything but a JSON object. */
export function parseJsonObject(body: Buffer): Record<string, unknown> | undefined {
    try {
        const value: unknown = JSON.parse(body.toString("utf8"));
        const isObject = typeof value === "object" && value !== null && !Array.isArray(value);
        return isObject ? value as Record<string, unknown> : undefined;
    }
    catch {
        return undefined;
    }
}
