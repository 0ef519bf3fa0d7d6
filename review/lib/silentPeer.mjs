/**
 * Addresses at which no machine answers: connections to them hang. A process listens there with a full queue of new
 * connections and is stopped, so that the system drops further ones.
 */
import { spawn } from "node:child_process";
import { connect, createServer } from "node:net";
import { fileURLToPath } from "node:url";

const BACKLOG = 1;

/** More connections than the queue holds. */
const FILLING_CONNECTIONS = 4;

/** Makes connections to the addresses (`IP:PORT`) hang until the end of the case. */
export async function silenceAddresses(context, addresses) {
    const child = spawn(process.execPath, [fileURLToPath(import.meta.url), ...addresses], {
        stdio: ["ignore", "pipe", "inherit"],
    });
    context.onEnd(async () => {
        const exited = new Promise(resolve => child.once("exit", resolve));
        child.kill("SIGKILL");
        await exited;
    });
    await new Promise((resolve, reject) => {
        child.stdout.once("data", resolve);
        child.once("exit", () => reject(new Error("the addresses can't be listened at")));
    });
    child.kill("SIGSTOP");
    const sockets = addresses.flatMap(address => {
        const [host, port] = address.split(":");
        return Array.from({ length: FILLING_CONNECTIONS }, () => {
            return connect({ host, port: Number(port) }).on("error", () => undefined);
        });
    });
    context.onEnd(() => sockets.forEach(socket => socket.destroy()));
    await new Promise(resolve => setTimeout(resolve, 300));
}

if (process.argv[1] === fileURLToPath(import.meta.url)) {
    await Promise.all(process.argv.slice(2).map(address => {
        const [host, port] = address.split(":");
        return new Promise(resolve => createServer().listen({ host, port: Number(port), backlog: BACKLOG }, resolve));
    }));
    process.stdout.write("listening\n");
}
