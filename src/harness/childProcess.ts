/** Starts one process of a fleet and waits for the line of JSON that it prints when it is ready. */
import { spawn } from "node:child_process";
import { createInterface } from "node:readline";

export interface Child {
    readonly name: string;
    readonly pid: number;
    /** The JSON that the process printed when it was ready. */
    readonly ready: unknown;
    readonly running: () => boolean;
    signal(signal: NodeJS.Signals): void;
    /** Sends SIGTERM and resolves with the exit code; sends SIGKILL after the timeout. */
    stop(timeoutMs: number): Promise<number | undefined>;
    /** Resolves with the exit code when the process has ended; `undefined` after a signal. */
    readonly exited: Promise<number | undefined>;
}

export interface ChildOptions {
    readonly name: string;
    /** Script and arguments for this Node.js executable. */
    readonly args: readonly string[];
    readonly env?: Readonly<Record<string, string>>;
    /** Keeps Ctrl-C of the terminal from the process, so that the parent can stop processes in order. */
    readonly ownProcessGroup?: boolean;
    /** Resolves stack traces to the sources, which costs memory. True by default. */
    readonly sourceMaps?: boolean;
}

const READY_TIMEOUT_MS = 30_000;

export async function startChild(options: ChildOptions): Promise<Child> {
    const { name, args, env, ownProcessGroup, sourceMaps = true } = options;
    const child = spawn(process.execPath, [...sourceMaps ? ["--enable-source-maps"] : [], ...args], {
        env: { ...process.env, NODE_ENV: "production", ...env },
        detached: ownProcessGroup ?? false,
        stdio: ["ignore", "pipe", "inherit"],
    });
    const exited = new Promise<number | undefined>(resolve => {
        child.once("exit", code => resolve(code ?? undefined));
    });
    const lines = createInterface({ input: child.stdout });
    const ready = await new Promise<unknown>((resolve, reject) => {
        const timer = setTimeout(() => reject(new Error(`${name} is not ready in time`)), READY_TIMEOUT_MS);
        lines.once("line", line => {
            clearTimeout(timer);
            resolve(JSON.parse(line));
        });
        void exited.then(code => reject(new Error(`${name} ended with code ${code} before it was ready`)));
    });

    async function stop(timeoutMs: number): Promise<number | undefined> {
        if (child.exitCode !== null || child.signalCode !== null) return exited;
        child.kill("SIGTERM");
        // A stopped process handles SIGTERM only after it continues.
        child.kill("SIGCONT");
        const timer = setTimeout(() => child.kill("SIGKILL"), timeoutMs);
        const code = await exited;
        clearTimeout(timer);
        return code;
    }

    return {
        name,
        pid: child.pid ?? 0,
        ready,
        running: () => child.exitCode === null && child.signalCode === null,
        signal: signal => void child.kill(signal),
        stop,
        exited,
    };
}
