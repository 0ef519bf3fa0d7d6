/** Starts the gRPC server of a process. It provides the Node service and, in agents, the Agent service. */
import { Server } from "@grpc/grpc-js";
import VError from "verror";
import { MAX_MESSAGE_BYTES } from "./connections.js";
import type { Credentials } from "./credentials.js";
import { type AgentServer, AgentService, type NodeServer, NodeService } from "./generated/endivewell.js";

export interface RpcServer {
    readonly port: number;
    /** Rejects new calls and resolves when the calls in progress have ended; cancels them after the timeout. */
    stop(timeoutMs: number): Promise<void>;
}

export interface RpcServerOptions {
    readonly host: string;
    readonly port: number;
    readonly credentials: Credentials;
    readonly node: NodeServer;
    readonly agent?: AgentServer;
}

/** Throws a VError named `ListenError` if the address can't be used. */
export async function startRpcServer(options: RpcServerOptions): Promise<RpcServer> {
    const server = new Server({
        "grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
        // Nothing reads the statistics that channelz keeps for each call.
        "grpc.enable_channelz": 0,
    });
    server.addService(NodeService, options.node);
    if (options.agent !== undefined) server.addService(AgentService, options.agent);
    const port = await bind(server, options);

    function stop(timeoutMs: number): Promise<void> {
        return new Promise(resolve => {
            const timer = setTimeout(() => server.forceShutdown(), timeoutMs);
            server.tryShutdown(() => {
                clearTimeout(timer);
                resolve();
            });
        });
    }

    return { port, stop };
}

function bind(server: Server, { host, port, credentials }: RpcServerOptions): Promise<number> {
    return new Promise((resolve, reject) => {
        server.bindAsync(`${host}:${port}`, credentials.forServer(), (error, boundPort) => {
            if (error === null) resolve(boundPort);
            else reject(new VError({ name: "ListenError", cause: error }, "can't listen on %s:%d", host, port));
        });
    });
}
