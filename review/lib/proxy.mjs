/** A TCP proxy on loopback whose open connections can fall silent while new ones work. */
import { connect, createServer } from "node:net";

export async function startProxy(context, target) {
    const [host, port] = target.split(":");
    const connections = new Set();
    const server = createServer(client => {
        const upstream = connect({ host, port: Number(port) });
        const connection = { isSilent: false };
        connections.add(connection);
        const relay = (from, to) => {
            from.on("data", data => {
                if (!connection.isSilent) to.write(data);
            });
            from.on("end", () => {
                if (!connection.isSilent) to.end();
            });
            from.on("error", () => connection.isSilent || to.destroy());
            from.on("close", () => {
                connections.delete(connection);
                if (!connection.isSilent) to.destroy();
            });
        };
        relay(client, upstream);
        relay(upstream, client);
        connection.destroy = () => {
            client.destroy();
            upstream.destroy();
        };
    });
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    context.onEnd(() => {
        server.close();
        for (const { destroy } of connections) destroy();
    });
    return {
        address: `127.0.0.1:${server.address().port}`,
        /** All open connections carry nothing any more, in either direction, and aren't reset. Returns their number. */
        silence: () => {
            const silenced = [...connections].filter(({ isSilent }) => !isSilent);
            for (const connection of silenced) connection.isSilent = true;
            return silenced.length;
        },
    };
}
