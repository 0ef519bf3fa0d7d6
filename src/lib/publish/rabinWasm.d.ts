/** Types of the part of rabin-wasm that is used; the package has none of its own. */
declare module "rabin-wasm" {
    interface Rabin {
        /** Returns the sizes of the chunks that end in the buffer. */
        fingerprint(buffer: Uint8Array): Int32Array;
    }

    /** `bits` is the base-2 logarithm of the mean size; the other sizes are in bytes. */
    function create(bits: number, min: number, max: number, window: number): Promise<Rabin>;
}
