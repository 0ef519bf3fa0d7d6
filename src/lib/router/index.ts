export * from "./router.js";
