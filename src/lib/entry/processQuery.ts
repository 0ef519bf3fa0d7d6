/**
 * Queries the other processes of the system for their events and status through the Node service. A process that
 * doesn't reply in time is listed as unreachable and doesn't fail the query.
 */
import { Metadata, type ServiceError } from "@grpc/grpc-js";
import type { Vm } from "../clients/index.js";
import { mergeEvents, type TimelineEvent } from "../core/index.js";
import type { EventRecorder, MembershipTask } from "../node/index.js";
import type { Connections, NodeClient } from "../rpc/index.js";

export interface UnreachableProcess {
    readonly process: string;
    readonly address: string;
    readonly reason: string;
}

export interface TimelineReport {
    /** Events of all processes that replied, merged into one order. */
    readonly events: readonly TimelineEvent[];
    readonly unreachable: readonly UnreachableProcess[];
}

export interface EntryReport {
    readonly process: string;
    readonly address: string;
    /** Status document of the entry. */
    readonly status: unknown;
}

export interface EntriesReport {
    readonly entries: readonly EntryReport[];
    readonly unreachable: readonly UnreachableProcess[];
}

export interface ProcessQuery {
    /** Reads the events of a subject from every listed process, or all events if the subject is empty. */
    readEvents(subject: string): Promise<TimelineReport>;
    /** Reads the status of the other entries. Agents are covered by the agent directory. */
    readEntries(): Promise<EntriesReport>;
}

export interface ProcessQueryOptions {
    /** Name of this process, which isn't queried. */
    readonly process: string;
    readonly membership: MembershipTask;
    readonly connections: Connections;
    readonly events: EventRecorder;
}

const REPLY_TIMEOUT_MS = 1500;

/** Bounds the memory and the sockets that one query of a large fleet uses. */
const MAX_CONCURRENT_CALLS = 32;

type CallResult<T> = { readonly vm: Vm; readonly value: T; } | { readonly vm: Vm; readonly reason: string; };

type ReplyCallback<T> = (error: ServiceError | null, value: T) => void;

export function createProcessQuery(options: ProcessQueryOptions): ProcessQuery {
    const { connections, membership, events } = options;

    async function readEvents(subject: string): Promise<TimelineReport> {
        const results = await callAll(otherProcesses(), (node, reply: ReplyCallback<TimelineEvent[]>) => {
            node.readEvents({ subject }, new Metadata(), callOptions(), (error, response) => {
                reply(
                    error,
                    (response?.events ?? []).map(event => {
                        return { ...event, attributes: parseAttributes(event.attributes) };
                    }),
                );
            });
        });
        const { values, unreachable } = partitionReplies(results);
        return { events: mergeEvents([events.read(subject), ...values.map(({ value }) => value)]), unreachable };
    }

    async function readEntries(): Promise<EntriesReport> {
        const entries = otherProcesses().filter(vm => vm.role === "entry");
        const results = await callAll(entries, (node, reply: ReplyCallback<unknown>) => {
            node.readStatus({}, new Metadata(), callOptions(), (error, response) => {
                reply(error, error === null ? JSON.parse(response.status) : undefined);
            });
        });
        const { values, unreachable } = partitionReplies(results);
        return {
            entries: values.map(({ vm, value }) => ({ process: vm.name, address: vm.address, status: value })),
            unreachable,
        };
    }

    function otherProcesses(): Vm[] {
        return membership.current().filter(vm => vm.name !== options.process);
    }

    async function callAll<T>(
        vms: readonly Vm[],
        call: (node: NodeClient, reply: ReplyCallback<T>) => void,
    ): Promise<CallResult<T>[]> {
        const pending = [...vms];
        const results: CallResult<T>[] = [];
        async function callNext(): Promise<void> {
            for (let vm = pending.shift(); vm !== undefined; vm = pending.shift()) {
                results.push(await callOne(vm, call));
            }
        }
        await Promise.all(Array.from({ length: MAX_CONCURRENT_CALLS }, callNext));
        return results;
    }

    function callOne<T>(vm: Vm, call: (node: NodeClient, reply: ReplyCallback<T>) => void): Promise<CallResult<T>> {
        return new Promise(resolve => {
            call(connections.node(vm.address), (error, value) => {
                resolve(error === null ? { vm, value } : { vm, reason: error.details });
            });
        });
    }

    return { readEvents, readEntries };
}

function callOptions() {
    return { deadline: Date.now() + REPLY_TIMEOUT_MS };
}

/** Parses the attributes of another process's event. Invalid JSON is kept as text, so that the event isn't lost. */
function parseAttributes(text: string): TimelineEvent["attributes"] {
    try {
        return JSON.parse(text) as TimelineEvent["attributes"];
    }
    catch {
        return { unreadable: text };
    }
}

function partitionReplies<T>(results: readonly CallResult<T>[]) {
    const values = results.filter(result => "value" in result);
    const unreachable = results
        .filter(result => "reason" in result)
        .map(({ vm, reason }) => ({ process: vm.name, address: vm.address, reason }));
    return { values, unreachable };
}
