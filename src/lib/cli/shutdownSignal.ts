/**
 * Resolves at the first SIGTERM or SIGINT. A further SIGTERM is ignored, because graceful shutdown has started; a
 * further SIGINT ends the process at once, as users expect of a second Ctrl-C.
 */
export function waitForShutdownSignal(): Promise<void> {
    return new Promise(resolve => {
        process.on("SIGTERM", () => resolve());
        process.once("SIGINT", () => resolve());
    });
}
