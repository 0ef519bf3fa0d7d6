/**
 * Asks the other processes of the system for their events and status through the Node service. A process
 * that doesn't answer in time is named in the result and never fails the whole survey.
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
    /** Events of all processes that answered, in one order. */
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

export interface ProcessSurvey {
    /** Reads the events of a subject, or all events if it is empty, from every listed process. */
    readEvents(subject: string): Promise<TimelineReport>;
    /** Reads the status of the other entries. The state of agents comes from the agent directory. */
    readEntries(): Promise<EntriesReport>;
}

export interface ProcessSurveyOptions {
    /** Name of this process, which is not asked. */
    readonly process: string;
    readonly membership: MembershipTask;
    readonly connections: Connections;
    readonly events: EventRecorder;
}

const ANSWER_TIMEOUT_MS = 1500;

/** Bounds the memory and the sockets that one survey of a large fleet takes. */
const PARALLEL_CALLS = 32;

type Answer<T> = { readonly vm: Vm; readonly value: T; } | { readonly vm: Vm; readonly reason: string; };

type Reply<T> = (error: ServiceError | null, value: T) => void;

export function createProcessSurvey(options: ProcessSurveyOptions): ProcessSurvey {
    const { connections, membership, events } = options;

    async function readEvents(subject: string): Promise<TimelineReport> {
        const answers = await ask(others(), (node, reply: Reply<TimelineEvent[]>) => {
            node.readEvents({ subject }, new Metadata(), callOptions(), (error, response) => {
                reply(
                    error,
                    (response?.events ?? []).map(event => {
                        return { ...event, attributes: parseAttributes(event.attributes) };
                    }),
                );
            });
        });
        const { values, unreachable } = separate(answers);
        return { events: mergeEvents([events.read(subject), ...values.map(({ value }) => value)]), unreachable };
    }

    async function readEntries(): Promise<EntriesReport> {
        const entries = others().filter(vm => vm.role === "entry");
        const answers = await ask(entries, (node, reply: Reply<unknown>) => {
            node.readStatus({}, new Metadata(), callOptions(), (error, response) => {
                reply(error, error === null ? JSON.parse(response.status) : undefined);
            });
        });
        const { values, unreachable } = separate(answers);
        return {
            entries: values.map(({ vm, value }) => ({ process: vm.name, address: vm.address, status: value })),
            unreachable,
        };
    }

    function others(): Vm[] {
        return membership.current().filter(vm => vm.name !== options.process);
    }

    async function ask<T>(vms: readonly Vm[], call: (node: NodeClient, reply: Reply<T>) => void): Promise<Answer<T>[]> {
        const waiting = [...vms];
        const answers: Answer<T>[] = [];
        async function askNext(): Promise<void> {
            for (let vm = waiting.shift(); vm !== undefined; vm = waiting.shift()) {
                answers.push(await askOne(vm, call));
            }
        }
        await Promise.all(Array.from({ length: PARALLEL_CALLS }, askNext));
        return answers;
    }

    function askOne<T>(vm: Vm, call: (node: NodeClient, reply: Reply<T>) => void): Promise<Answer<T>> {
        return new Promise(resolve => {
            call(connections.node(vm.address), (error, value) => {
                resolve(error === null ? { vm, value } : { vm, reason: error.details });
            });
        });
    }

    return { readEvents, readEntries };
}

function callOptions() {
    return { deadline: Date.now() + ANSWER_TIMEOUT_MS };
}

/** Attributes come from another process; a value that can't be read must not hide the event. */
function parseAttributes(text: string): TimelineEvent["attributes"] {
    try {
        return JSON.parse(text) as TimelineEvent["attributes"];
    }
    catch {
        return { unreadable: text };
    }
}

function separate<T>(answers: readonly Answer<T>[]) {
    const values = answers.filter(answer => "value" in answer);
    const unreachable = answers
        .filter(answer => "reason" in answer)
        .map(({ vm, reason }) => ({ process: vm.name, address: vm.address, reason }));
    return { values, unreachable };
}
