/** What every API of the entry needs: the parts of the process and the request at hand. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { ConfigurationSync, EventRecorder } from "../node/index.js";
import type { Metrics } from "../observability/index.js";
import type { EntrySettings } from "../settings/index.js";
import type { Accounts } from "./accounts.js";
import type { Dispatcher } from "./dispatcher.js";
import type { RequestLimit } from "./requestLimit.js";

export interface EntryParts {
    readonly settings: EntrySettings;
    readonly accounts: Accounts;
    readonly configuration: ConfigurationSync;
    readonly dispatcher: Dispatcher;
    readonly requestLimit: RequestLimit;
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
