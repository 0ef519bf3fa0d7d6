/**
 * Watches which chunks of a version other VMs of the region hold. The number of watched VMs is limited. VMs of
 * the same failure domain are preferred, but at least a quarter of the watches is reserved for other failure
 * domains, so that chunks also spread between domains.
 */
import type { Vm } from "../clients/index.js";
import { type Digest, orderMembers } from "../core/index.js";
import type { ChunkAvailability, Connections } from "../rpc/index.js";

export interface PeerWatches {
    /** Opens and closes watches to match the list of VMs. */
    reconcile(vms: readonly Vm[]): void;
    /** Returns the VM with the name if it is watched. */
    readonly find: (name: string) => Vm | undefined;
    stop(): void;
}

export interface PeerWatchesOptions {
    readonly process: string;
    readonly failureDomain: string;
    readonly rootDigest: Digest;
    readonly connections: Connections;
    /** Called when a VM has sent its first message. */
    readonly onConnected: (vm: Vm) => void;
    readonly onChunk: (vm: Vm, index: number) => void;
    /**
     * Called when a watch has ended. `failed` is true if the VM ended it or is unreachable; the next `reconcile`
     * then opens it again.
     */
    readonly onLost: (vm: Vm, failed: boolean) => void;
}

export const MAX_WATCHED_PEERS = 16;

/** Returns the VMs to watch. Each VM orders the others differently, so that the watches form a connected graph. */
export function choosePeersToWatch(process: string, failureDomain: string, vms: readonly Vm[]): Vm[] {
    const order = orderMembers(process, vms.map(vm => vm.name));
    const byName = new Map(vms.map(vm => [vm.name, vm]));
    const ordered = order.flatMap(name => byName.get(name) ?? []).filter(vm => vm.name !== process);
    const sameDomain = ordered.filter(vm => vm.failureDomain === failureDomain);
    const otherDomains = ordered.filter(vm => vm.failureDomain !== failureDomain);
    const otherDomainLimit = Math.max(MAX_WATCHED_PEERS / 4, MAX_WATCHED_PEERS - sameDomain.length);
    const chosenOtherDomains = otherDomains.slice(0, otherDomainLimit);
    return [...sameDomain.slice(0, MAX_WATCHED_PEERS - chosenOtherDomains.length), ...chosenOtherDomains];
}

export function createPeerWatches(options: PeerWatchesOptions): PeerWatches {
    const watches = new Map<string, { vm: Vm; close(failed: boolean): void; }>();

    function reconcile(vms: readonly Vm[]): void {
        const chosen = new Map(
            choosePeersToWatch(options.process, options.failureDomain, vms).map(vm => [vm.name, vm]),
        );
        const listed = new Set(vms.map(vm => vm.address));
        for (const { vm, close } of watches.values()) {
            if (chosen.get(vm.name)?.address === vm.address) continue;
            close(false);
            if (!listed.has(vm.address)) options.connections.closeConnection(vm.address);
        }
        for (const vm of chosen.values()) {
            if (!watches.has(vm.name)) open(vm);
        }
    }

    function open(vm: Vm): void {
        const call = options.connections.agent(vm.address).watchChunks({
            process: options.process,
            rootDigest: options.rootDigest,
        });
        let connected = false;
        let ended = false;
        function close(failed: boolean): void {
            if (ended) return;
            ended = true;
            watches.delete(vm.name);
            call.cancel();
            options.onLost(vm, failed);
        }
        watches.set(vm.name, { vm, close });
        call.on("data", ({ bitmap, added }: ChunkAvailability) => {
            if (ended) return;
            if (!connected) options.onConnected(vm);
            connected = true;
            for (const index of [...decodeBitmap(bitmap), ...added]) options.onChunk(vm, index);
        });
        call.on("error", () => close(true));
        call.on("end", () => close(true));
    }

    function stop(): void {
        for (const { close } of watches.values()) close(false);
    }

    return { reconcile, find: name => watches.get(name)?.vm, stop };
}

export function encodeBitmap(chunkCount: number, isHeld: (index: number) => boolean): Buffer {
    const bitmap = Buffer.alloc(Math.ceil(chunkCount / 8));
    for (let index = 0; index < chunkCount; index++) {
        if (isHeld(index)) bitmap[index >> 3] = (bitmap[index >> 3] ?? 0) | (1 << (index & 7));
    }
    return bitmap;
}

function* decodeBitmap(bitmap: Buffer): Generator<number> {
    for (let index = 0; index < bitmap.length * 8; index++) {
        if (((bitmap[index >> 3] ?? 0) >> (index & 7) & 1) === 1) yield index;
    }
}
