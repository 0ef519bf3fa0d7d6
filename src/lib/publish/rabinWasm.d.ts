/** Declares the used part of rabin-wasm, which has no type declarations of its own. */
declare module "rabin-wasm" {
    interface Rabin {
        /** Returns the sizes of the chunks that end in the buffer. */
        fingerprint(buffer: Uint8Array): Int32Array;
    }

    /** `bits` is the base-2 logarithm of the mean chunk size; the other parameters are in bytes. */
    function create(bits: number, min: number, max: number, window: number): Promise<Rabin>;
}
