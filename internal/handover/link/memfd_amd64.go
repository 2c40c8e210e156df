package link

const sysMemfdCreate = 319 // memfd_create(2) on Linux, amd64
