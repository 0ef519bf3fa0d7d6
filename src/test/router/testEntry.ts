/** An entry with one server for tests, and raw callers of it. */
import type { Router } from "../../lib/router/index.js";
import {
    completeResponse,
    configurationRow,
    type FakeRunner,
    type ReceivedRequest,
    serverRow,
    startFakeRunner,
} from "../platform/fakeRunner.js";
import { type FakeStore, startFakeStore } from "../platform/fakeStore.js";
import { openRawCaller, type RawCaller } from "./rawCaller.js";
import { createVmSettings, findFreePortRange, startTestRouter } from "./routerHarness.js";

export interface TestEntry {
    readonly store: FakeStore;
    readonly router: Router;
    readonly runner: FakeRunner;
    /** Port of the messages and requests of other entries. */
    readonly peerPort: number;
    openCaller(): Promise<RawCaller>;
    /** Stops everything; `router.stop` may have been called before. */
    close(): Promise<void>;
}

export interface TestEntryOptions {
    readonly configuration?: object;
    /** Changes to the row of the server. */
    readonly server?: object;
    /** By default the server responds to each request with `ok`. */
    readonly respond?: (request: ReceivedRequest) => void;
}

/** Time that an entry needs to apply a change of the store. */
export const CHANGE_MS = 700;

export const sleep = (ms: number) => new Promise<undefined>(resolve => setTimeout(resolve, ms, undefined));

export function respondOk(request: ReceivedRequest): void {
    request.socket.write(completeResponse(request, "ok"));
}

export async function startTestEntry(options: TestEntryOptions = {}): Promise<TestEntry> {
    const { configuration = configurationRow(1), server = {}, respond = respondOk } = options;
    const callers: RawCaller[] = [];
    const store = await startFakeStore();
    store.put("op", "config", configuration);
    const runner = await startFakeRunner(respond);
    store.put("servers", "i-1", serverRow(runner.address, server));
    const peerPort = await findFreePortRange();
    const router = await startTestRouter(createVmSettings(store.address, peerPort));
    let stopped: Promise<void> | undefined;
    const stop = () => stopped ??= router.stop();
    return {
        store,
        router: { ...router, stop },
        runner,
        peerPort,
        openCaller: async () => {
            const caller = await openRawCaller(router.callerPort);
            callers.push(caller);
            return caller;
        },
        close: async () => {
            for (const caller of callers) caller.close();
            runner.close();
            store.close();
            await stop();
        },
    };
}

/** Returns a configuration with changes to each route. */
export function configurationWithRoutes(version: number, routeChanges: object): object {
    const { routes } = configurationRow(1) as { routes: object[]; };
    return configurationRow(version, { routes: routes.map(route => ({ ...route, ...routeChanges })) });
}

/** Returns a configuration with changed limits. */
export function configurationWithLimits(version: number, limitChanges: object): object {
    const { limits } = configurationRow(1) as { limits: object; };
    return configurationRow(version, { limits: { ...limits, ...limitChanges } });
}
