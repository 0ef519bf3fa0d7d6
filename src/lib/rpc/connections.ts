/**
 * Pool of gRPC connections to other processes of the system, one per address. Use `agent` for the Agent service and
 * `node` for the Node service; both share the connection, which stays open until `closeConnection` or `close`.
 */
import type { Client } from "@grpc/grpc-js";
import type { Credentials } from "./credentials.js";
import { AgentClient, NodeClient } from "./generated/endivewell.js";

/** Maximum size of a message. The largest messages contain a request body or a manifest. */
export const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;

/**
 * Longer than the pauses of a process and the stalls of a link that calls must survive. A VM without power is found out
 * after this time and the interval between two pings.
 */
const KEEPALIVE_TIMEOUT_MS = 10_000;

const CHANNEL_OPTIONS = {
    // Ignores proxy environment variables for traffic between the processes of the system.
    "grpc.enable_http_proxy": 0,
    // Nothing reads the statistics that channelz keeps for each call.
    "grpc.enable_channelz": 0,
    "grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
    "grpc.keepalive_time_ms": 5_000,
    "grpc.keepalive_timeout_ms": KEEPALIVE_TIMEOUT_MS,
    "grpc.initial_reconnect_backoff_ms": 200,
    "grpc.max_reconnect_backoff_ms": 2_000,
};

export interface Connections {
    agent(address: string): AgentClient;
    node(address: string): NodeClient;
    /** Connects without sending a request. Resolves to whether the connection is established within the timeout. */
    connect(address: string, timeoutMs: number): Promise<boolean>;
    /** Closes the connection to an address. Use it when the process there is no longer a member. */
    closeConnection(address: string): void;
    close(): void;
}

export function createConnections(credentials: Credentials): Connections {
    const agents = new Map<string, AgentClient>();
    const nodes = new Map<string, NodeClient>();

    function agent(address: string): AgentClient {
        return getOrCreate(
            agents,
            address,
            () => new AgentClient(address, credentials.forConnection(), CHANNEL_OPTIONS),
        );
    }

    function node(address: string): NodeClient {
        return getOrCreate(nodes, address, () => {
            const channelOverride = agents.get(address)?.getChannel();
            return new NodeClient(address, credentials.forConnection(), { ...CHANNEL_OPTIONS, channelOverride });
        });
    }

    function connect(address: string, timeoutMs: number): Promise<boolean> {
        return new Promise(resolve => {
            agent(address).waitForReady(Date.now() + timeoutMs, error => resolve(error === undefined));
        });
    }

    function closeConnection(address: string): void {
        agents.get(address)?.close();
        nodes.get(address)?.close();
        agents.delete(address);
        nodes.delete(address);
    }

    function close(): void {
        for (const address of new Set([...agents.keys(), ...nodes.keys()])) closeConnection(address);
    }

    return { agent, node, connect, closeConnection, close };
}

function getOrCreate<T extends Client>(clients: Map<string, T>, address: string, create: () => T): T {
    const existing = clients.get(address);
    if (existing !== undefined) return existing;
    const created = create();
    clients.set(address, created);
    return created;
}
