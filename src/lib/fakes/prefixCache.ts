/** Prompt prefix cache of the fake engine: an LRU cache of fixed-size character blocks. */
import { createHash } from "node:crypto";

export interface PrefixCache {
    /** Returns how many leading characters of the prompt were cached, and caches all of its complete blocks. */
    lookUpAndStore(prompt: string): number;
}

const BLOCK_CHARACTERS = 64;

export type BlockListener = (kind: "stored" | "removed", block: string) => void;

export function createPrefixCache(maxBlocks: number, onBlock: BlockListener): PrefixCache {
    // A Set iterates in insertion order, so its first key is the least recently used one.
    const blocks = new Set<string>();

    function lookUpAndStore(prompt: string): number {
        const hash = createHash("sha256");
        let cachedCharacters = 0;
        for (let end = BLOCK_CHARACTERS; end <= prompt.length; end += BLOCK_CHARACTERS) {
            hash.update(prompt.slice(end - BLOCK_CHARACTERS, end));
            const key = hash.copy().digest("base64");
            // A block is a hit only if all preceding blocks are hits, as with KV cache blocks.
            if (blocks.has(key) && cachedCharacters === end - BLOCK_CHARACTERS) cachedCharacters = end;
            storeBlock(key);
        }
        return cachedCharacters;
    }

    function storeBlock(key: string): void {
        if (!blocks.delete(key)) onBlock("stored", key);
        blocks.add(key);
        const [oldest] = blocks;
        if (blocks.size <= maxBlocks || oldest === undefined) return;
        blocks.delete(oldest);
        onBlock("removed", oldest);
    }

    return { lookUpAndStore };
}
