export * from "./configuration.js";
export * from "./manifest.js";
export * from "./profile.js";
export * from "./rank.js";
export * from "./rendezvous.js";
export * from "./tokenBucket.js";
export * from "./verdict.js";
