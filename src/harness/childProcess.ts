/** Starts a child process of the fleet and waits for the line of JSON that it prints when it is ready. */
import { spawn } from "node:child_process";
import { createInterface } from "node:readline";

export interface Child {
    readonly name: string;
    readonly pid: number;
    /** Parsed JSON that the process printed when it became ready. */
    readonly ready: unknown;
    readonly isRunning: () => boolean;
    signal(signal: NodeJS.Signals): void;
    /** Sends SIGTERM, and SIGKILL after the timeout. Resolves like `exited`. */
    stop(timeoutMs: number): Promise<number | undefined>;
    /** Resolves with the exit code when the process has exited, or `undefined` if a signal ended it. */
    readonly exited: Promise<number | undefined>;
}

export interface ChildOptions {
    readonly name: string;
    /** Script and its arguments, run with the current Node.js executable. */
    readonly args: readonly string[];
    readonly env?: Readonly<Record<string, string>>;
    /**
     * Starts the process in its own process group, so that Ctrl-C reaches only the parent, which then decides when each
     * of its child processes stops.
     */
    readonly ownProcessGroup?: boolean;
    /** Maps stack traces to the sources, which costs memory. True by default. */
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
        const timer = setTimeout(
            () => reject(new Error(`${name} was not ready within ${READY_TIMEOUT_MS} ms`)),
            READY_TIMEOUT_MS,
        );
        lines.once("line", line => {
            clearTimeout(timer);
            resolve(JSON.parse(line));
        });
        void exited.then(code => reject(new Error(`${name} exited with code ${code} before it was ready`)));
    });

    async function stop(timeoutMs: number): Promise<number | undefined> {
        if (child.exitCode !== null || child.signalCode !== null) return exited;
        child.kill("SIGTERM");
        // A process stopped by SIGSTOP handles SIGTERM only after SIGCONT.
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
        isRunning: () => child.exitCode === null && child.signalCode === null,
        signal: signal => void child.kill(signal),
        stop,
        exited,
    };
}
