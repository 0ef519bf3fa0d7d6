/**
 * Connections to other processes of the system, one per address, kept until `close`. Use `agent` for the
 * Agent service and `node` for the Node service; both share the connection.
 */
import type { Client } from "@grpc/grpc-js";
import type { Credentials } from "./credentials.js";
import { AgentClient, NodeClient } from "./generated/endivewell.js";

/** Largest message in bytes: a request body or a manifest. */
export const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;

const OPTIONS = {
    // The environment must not route traffic between own processes through a proxy.
    "grpc.enable_http_proxy": 0,
    // Nothing reads the statistics that channelz keeps for each call.
    "grpc.enable_channelz": 0,
    "grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
    "grpc.keepalive_time_ms": 5_000,
    "grpc.keepalive_timeout_ms": 2_000,
    "grpc.initial_reconnect_backoff_ms": 200,
    "grpc.max_reconnect_backoff_ms": 2_000,
};

export interface Connections {
    agent(address: string): AgentClient;
    node(address: string): NodeClient;
    /** Resolves to whether a connection is established before the timeout. Nothing is sent before that. */
    connect(address: string, timeoutMs: number): Promise<boolean>;
    /** Closes the connection to an address that left the membership. */
    drop(address: string): void;
    close(): void;
}

export function createConnections(credentials: Credentials): Connections {
    const agents = new Map<string, AgentClient>();
    const nodes = new Map<string, NodeClient>();

    function agent(address: string): AgentClient {
        return remembered(agents, address, () => new AgentClient(address, credentials.forConnection(), OPTIONS));
    }

    function node(address: string): NodeClient {
        return remembered(nodes, address, () => {
            const channelOverride = agents.get(address)?.getChannel();
            return new NodeClient(address, credentials.forConnection(), { ...OPTIONS, channelOverride });
        });
    }

    function connect(address: string, timeoutMs: number): Promise<boolean> {
        return new Promise(resolve => {
            agent(address).waitForReady(Date.now() + timeoutMs, error => resolve(error === undefined));
        });
    }

    function drop(address: string): void {
        agents.get(address)?.close();
        nodes.get(address)?.close();
        agents.delete(address);
        nodes.delete(address);
    }

    function close(): void {
        for (const address of new Set([...agents.keys(), ...nodes.keys()])) drop(address);
    }

    return { agent, node, connect, drop, close };
}

function remembered<T extends Client>(known: Map<string, T>, address: string, create: () => T): T {
    const existing = known.get(address);
    if (existing !== undefined) return existing;
    const created = create();
    known.set(address, created);
    return created;
}
