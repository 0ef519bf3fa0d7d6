/**
 * Resolves at the first SIGTERM or SIGINT. A further SIGTERM is ignored, because the process is stopping in order then;
 * a further SIGINT ends it at once, as a user expects of a second Ctrl-C.
 */
export function untilSignal(): Promise<void> {
    return new Promise(resolve => {
        process.on("SIGTERM", () => resolve());
        process.once("SIGINT", () => resolve());
    });
}
