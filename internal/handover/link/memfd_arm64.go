package link

const sysMemfdCreate = 279 // memfd_create(2) on Linux, arm64
