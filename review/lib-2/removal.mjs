/** Removes a machine of a case for good: its process is killed, and its address doesn't answer any more. */
import { spawn } from "node:child_process";
import { waitUntil } from "../lib/harness.mjs";

/** Ports of a machine that others may call; `createMachines` reserves this many. */
const PORT_COUNT = 20;

export async function removeForGood(context, machine) {
    machine.kill();
    if (!await waitUntil(() => machine.pid() === undefined, 2000)) throw new Error(`${machine.name} runs on`);
    const ports = Array.from({ length: PORT_COUNT }, (_, index) => machine.ports.front + index);
    await silenceAddress(context, machine.ip, ports);
    context.write(`${machine.name} is removed for good`);
}

/** Listens on the ports until the case ends, in a stopped process, so that nobody who connects gets an answer. */
async function silenceAddress(context, ip, ports) {
    const script = `
        const { createServer } = require("node:net");
        let remaining = ${ports.length};
        const onListening = () => --remaining === 0 && process.stdout.write("listening");
        for (const port of ${JSON.stringify(ports)}) {
            createServer().listen({ port, host: "${ip}", backlog: 1 }, onListening);
        }`;
    const child = spawn(process.execPath, ["-e", script], { stdio: ["ignore", "pipe", "ignore"] });
    const exited = new Promise(resolve => child.once("exit", resolve));
    context.onEnd(() => {
        child.kill("SIGKILL");
        return exited;
    });
    const isListening = await Promise.race([
        new Promise(resolve => child.stdout.once("data", () => resolve(true))),
        exited.then(() => false),
    ]);
    if (!isListening) throw new Error(`the ports of ${ip} are in use`);
    child.kill("SIGSTOP");
}
