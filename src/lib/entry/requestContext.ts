/** Types that the request handlers of all of the entry's APIs take: the process's dependencies and the request. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { ConfigurationSync, EventRecorder } from "../node/index.js";
import type { ReadTurns } from "../node/readTurns.js";
import type { Metrics } from "../observability/index.js";
import type { EntrySettings } from "../settings/index.js";
import type { Accounts } from "./accounts.js";
import type { Dispatcher } from "./dispatcher.js";
import type { RequestLimit } from "./requestLimit.js";

export interface EntryDependencies {
    readonly settings: EntrySettings;
    readonly accounts: Accounts;
    readonly configuration: ConfigurationSync;
    readonly dispatcher: Dispatcher;
    readonly requestLimit: RequestLimit;
    readonly readTurns: ReadTurns;
    readonly events: EventRecorder;
    readonly metrics: Metrics;
    readonly now: () => number;
}

export interface RequestContext {
    readonly requestId: string;
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly url: URL;
}
