/** Prompt prefix cache of the stand-in engine: blocks of characters, least recently used first out. */
import { createHash } from "node:crypto";

export interface PrefixCache {
    /** Returns how many leading characters of the prompt were cached, and caches all of its whole blocks. */
    use(prompt: string): number;
}

const BLOCK_CHARACTERS = 64;

export type BlockListener = (kind: "stored" | "removed", block: string) => void;

export function createPrefixCache(maxBlocks: number, onBlock: BlockListener): PrefixCache {
    // A Set keeps the order of insertion, so its first key was used longest ago.
    const blocks = new Set<string>();

    function use(prompt: string): number {
        const hash = createHash("sha256");
        let cached = 0;
        for (let end = BLOCK_CHARACTERS; end <= prompt.length; end += BLOCK_CHARACTERS) {
            hash.update(prompt.slice(end - BLOCK_CHARACTERS, end));
            const key = hash.copy().digest("base64");
            // A block counts only if all blocks before it are cached, as with KV cache blocks.
            if (blocks.has(key) && cached === end - BLOCK_CHARACTERS) cached = end;
            remember(key);
        }
        return cached;
    }

    function remember(key: string): void {
        if (!blocks.delete(key)) onBlock("stored", key);
        blocks.add(key);
        const [oldest] = blocks;
        if (blocks.size <= maxBlocks || oldest === undefined) return;
        blocks.delete(oldest);
        onBlock("removed", oldest);
    }

    return { use };
}
