/** Implements the gRPC service `Node`, which every process offers to the others. */
import type { NodeServer } from "../rpc/index.js";
import type { ConfigurationSync } from "./configurationSync.js";
import type { EventRecorder } from "./eventRecorder.js";

export interface NodeServiceOptions {
    readonly configuration: ConfigurationSync;
    readonly events: EventRecorder;
    /** Returns the status document of this process. */
    readonly status: () => unknown;
}

export function createNodeService({ configuration, events, status }: NodeServiceOptions): NodeServer {
    return {
        syncConfiguration: (call, reply) => {
            reply(null, configuration.handleExchange(call.request));
        },
        readEvents: (call, reply) => {
            const recordedEvents = events.read(call.request.subject);
            reply(null, {
                events: recordedEvents.map(event => ({ ...event, attributes: JSON.stringify(event.attributes) })),
            });
        },
        readStatus: (_call, reply) => reply(null, { status: JSON.stringify(status()) }),
    };
}
