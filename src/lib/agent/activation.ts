/**
 * Brings the engine to the version that the configuration names. This task is the sole issuer of orders
 * to the engine: it orders only complete and verified versions, reads the engine's state before and after
 * each order, and never issues an order for a revision older than the greatest one it has seen.
 */
import { type Configuration, type Digest, profilesOf } from "../core/index.js";
import type { ConfigurationSync, EventRecorder } from "../node/index.js";
import { createLog } from "../observability/index.js";
import type { Engine, EngineState } from "../platform/index.js";
import type { ChunkStore } from "./chunkStore.js";
import type { Transfer } from "./transfer.js";

const log = createLog("agent:activation");

/** Longest pause before the engine's state is read again or a failed step is retried. */
const POLL_MS = 1000;

export interface Activation {
    /** State of the engine as last read. `digest` is empty while requests must not be sent to it. */
    readonly serving: () => EngineState;
    /** The transfer in progress or the last one. */
    readonly transfer: () => Transfer | undefined;
    stop(): void;
}

export interface ActivationOptions {
    readonly service: string;
    readonly engine: Engine;
    readonly store: ChunkStore;
    readonly configuration: ConfigurationSync;
    readonly events: EventRecorder;
    readonly startTransfer: (rootDigest: Digest) => Transfer;
    /** Waits until no request uses the engine and keeps new ones out until `resume` is called. */
    readonly pause: () => Promise<{ resume(): void; }>;
    readonly onChange: () => void;
}

const NOTHING_LOADED: EngineState = { digest: "", generation: 0, fence: 0 };

export function startActivation(options: ActivationOptions): Activation {
    const { engine, store, configuration, events } = options;
    let serving = NOTHING_LOADED;
    let transfer: Transfer | undefined;
    let stopped = false;
    let wake: () => void = () => undefined;

    configuration.onChange(() => {
        const wanted = wantedDigest(configuration.current(), options.service);
        if (transfer !== undefined && transfer.rootDigest !== wanted) transfer.cancel();
        wake();
    });

    async function run(): Promise<void> {
        while (!stopped) {
            await step().catch((error: Error) => {
                log.warn("the version could not be activated: %s", error.message);
            });
            await new Promise<void>(resolve => {
                wake = resolve;
                setTimeout(resolve, POLL_MS).unref();
            });
        }
    }

    async function step(): Promise<void> {
        setServing(await engine.readState().catch(() => NOTHING_LOADED));
        const wanted = wantedDigest(configuration.current(), options.service);
        if (wanted === undefined || wanted === serving.digest) return;
        events.record("rollout.fetching", wanted);
        transfer = options.startTransfer(wanted);
        await transfer.done;
        await order(wanted);
    }

    async function order(digest: Digest): Promise<void> {
        const gate = await options.pause();
        try {
            const current = configuration.current();
            if (wantedDigest(current, options.service) !== digest) return;
            setServing(NOTHING_LOADED);
            await engine.load({ digest, path: store.path(digest), fence: current.revision });
            const loaded = await engine.readState();
            if (loaded.digest !== digest) throw new Error(`the engine serves ${loaded.digest} after the order`);
            setServing(loaded);
            events.record("rollout.serving", digest, { generation: loaded.generation });
        }
        finally {
            gate.resume();
        }
    }

    function setServing(state: EngineState): void {
        const changed = state.digest !== serving.digest || state.generation !== serving.generation;
        serving = state;
        if (changed) options.onChange();
    }

    void run();
    return {
        serving: () => serving,
        transfer: () => transfer,
        stop: () => {
            stopped = true;
            transfer?.cancel();
            wake();
        },
    };
}

/** Returns the root digest that a pool serves, or `undefined` if no profile names the pool. */
export function wantedDigest(configuration: Configuration, service: string): Digest | undefined {
    return profilesOf(configuration, service)[0]?.profile.rootDigest;
}
