/** Client of the platform's list of VMs. The list lags, so combine it with direct evidence of a VM's state. */
import VError from "verror";
import * as z from "zod";
import { sendRequest } from "./http.js";

const vmSchema = z.object({
    name: z.string(),
    /** IP address and port of the process's gRPC server. */
    address: z.string(),
    role: z.enum(["entry", "agent"]),
    /** Pool that an agent belongs to; empty for entries. */
    service: z.string(),
    failureDomain: z.string(),
    region: z.string(),
    state: z.enum(["live", "leaving"]),
});

export type Vm = Readonly<z.infer<typeof vmSchema>>;

export interface VmList {
    /** Returns the current list. Throws if the request fails or the response is malformed. */
    read(): Promise<readonly Vm[]>;
}

export function createVmList(options: { readonly url: string; readonly timeoutMs: number; }): VmList {
    let cachedVms: readonly Vm[] = [];
    let cachedEtag = "";

    // Conditional requests avoid transferring an unchanged list, whose size grows with the fleet, to every process.
    async function read(): Promise<readonly Vm[]> {
        const response = await sendRequest({
            method: "GET",
            url: `${options.url}/vms`,
            headers: cachedEtag === "" ? {} : { "if-none-match": cachedEtag },
            compressed: true,
            timeoutMs: options.timeoutMs,
        });
        if (response.status === 304) return cachedVms;
        if (response.status !== 200) {
            throw new VError({ name: "VmListError" }, "the VM list service returned status %d", response.status);
        }
        cachedVms = z.array(vmSchema).parse(JSON.parse(response.body.toString("utf8")));
        cachedEtag = response.headers.etag ?? "";
        return cachedVms;
    }

    return { read };
}
